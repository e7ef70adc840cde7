/** Measures the authority over work: commits, acceptance, takeover, claims and faults. */
@NullMarked
package org.damasktiller.benchmark.authority;

import org.jspecify.annotations.NullMarked;
