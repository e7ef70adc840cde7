/** Metrics with histograms for each tenant and kind of work. */
@NullMarked
package org.damasktiller.daemon.metrics;

import org.jspecify.annotations.NullMarked;
