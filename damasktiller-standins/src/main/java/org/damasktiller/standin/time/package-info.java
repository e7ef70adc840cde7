/** The paused clock of tests and measurements, with the steps that are to come. */
@NullMarked
package org.damasktiller.standin.time;

import org.jspecify.annotations.NullMarked;
