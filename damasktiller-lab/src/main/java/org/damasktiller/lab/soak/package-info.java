/**
 * The fault soak test: overlapping faults drawn from a seed, with continuous checks of the
 * scheduler's guarantees.
 */
@NullMarked
package org.damasktiller.lab.soak;

import org.jspecify.annotations.NullMarked;
