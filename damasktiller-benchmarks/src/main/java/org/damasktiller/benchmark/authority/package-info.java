/** Measures the authority over work: writes, latency of acceptance, takeover, faults. */
@NullMarked
package org.damasktiller.benchmark.authority;

import org.jspecify.annotations.NullMarked;
