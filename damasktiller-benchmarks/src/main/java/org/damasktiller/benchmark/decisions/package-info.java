/** Measures the decisions under load with fake workers, a paused clock and seeded arrivals. */
@NullMarked
package org.damasktiller.benchmark.decisions;

import org.jspecify.annotations.NullMarked;
