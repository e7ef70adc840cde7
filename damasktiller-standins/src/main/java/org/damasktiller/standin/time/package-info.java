/** Virtual time for tests and simulations: clocks and timers that advance only on request. */
@NullMarked
package org.damasktiller.standin.time;

import org.jspecify.annotations.NullMarked;
