/** Estimates the size and run time of each kind of work from what was observed. */
@NullMarked
package org.damasktiller.decision.estimate;

import org.jspecify.annotations.NullMarked;
