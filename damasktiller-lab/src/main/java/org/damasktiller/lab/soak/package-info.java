/** The fault soak: a seeded plan of overlapping faults, and the checks while it runs. */
@NullMarked
package org.damasktiller.lab.soak;

import org.jspecify.annotations.NullMarked;
