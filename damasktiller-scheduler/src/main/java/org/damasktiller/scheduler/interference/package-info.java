/**
 * Learns and predicts how much fillers raise the tail latencies of the serving tasks beside them.
 * Uses neither the store nor the workers nor a clock; the owner of a cell feeds it with reports and
 * keeps its record.
 */
@NullMarked
package org.damasktiller.scheduler.interference;

import org.jspecify.annotations.NullMarked;
