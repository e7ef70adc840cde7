/** Chooses the job to start next by class, guaranteed minimum and weighted fair share. */
@NullMarked
package org.damasktiller.decision.fairshare;

import org.jspecify.annotations.NullMarked;
