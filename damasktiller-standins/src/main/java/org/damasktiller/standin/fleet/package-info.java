/** Simulated workers for tests, with a checker of the scheduler's safety properties. */
@NullMarked
package org.damasktiller.standin.fleet;

import org.jspecify.annotations.NullMarked;
