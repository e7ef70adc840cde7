/** Measures the authority over work: commits, claims and their cost. */
@NullMarked
package org.damasktiller.benchmark.authority;

import org.jspecify.annotations.NullMarked;
