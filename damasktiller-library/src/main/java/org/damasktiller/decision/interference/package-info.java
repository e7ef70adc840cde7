/** Estimates online how much kinds of work slow each other down on a shared worker. */
@NullMarked
package org.damasktiller.decision.interference;

import org.jspecify.annotations.NullMarked;
