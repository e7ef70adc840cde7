/** Chooses the worker of a job by score among a sample of the workers that have room. */
@NullMarked
package org.damasktiller.decision.placement;

import org.jspecify.annotations.NullMarked;
