/** Counters and histograms that are derived from log events. */
@NullMarked
package org.damasktiller.node.metrics;

import org.jspecify.annotations.NullMarked;
