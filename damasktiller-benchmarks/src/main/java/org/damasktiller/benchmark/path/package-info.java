/** Measures the whole path: what one entry VM adds to a direct call. */
@NullMarked
package org.damasktiller.benchmark.path;

import org.jspecify.annotations.NullMarked;
