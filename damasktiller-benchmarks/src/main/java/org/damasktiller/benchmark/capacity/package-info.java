/** Measures the slopes from which the capacity page works out the load of each role. */
@NullMarked
package org.damasktiller.benchmark.capacity;

import org.jspecify.annotations.NullMarked;
