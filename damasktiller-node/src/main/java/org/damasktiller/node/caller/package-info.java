/** The requests of callers: submissions, questions and cancellations. */
@NullMarked
package org.damasktiller.node.caller;

import org.jspecify.annotations.NullMarked;
