/** Drives the decisions together: takes events and returns what to start, resize or stop. */
@NullMarked
package org.damasktiller.decision.dispatch;

import org.jspecify.annotations.NullMarked;
