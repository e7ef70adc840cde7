/** Measures the interactive path: gateway, endpoints and load as threads of one process. */
@NullMarked
package org.damasktiller.benchmark.interactive;

import org.jspecify.annotations.NullMarked;
