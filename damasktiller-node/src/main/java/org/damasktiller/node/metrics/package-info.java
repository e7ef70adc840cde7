/** Counters and histograms, made of the decisions that are logged. */
@NullMarked
package org.damasktiller.node.metrics;

import org.jspecify.annotations.NullMarked;
