package org.damasktiller.benchmark.decisions;

import org.damasktiller.resource.Resources;
import org.damasktiller.table.KindOfWork;

/**
 * Describes a kind of work as it really behaves, which the policies cannot see.
 *
 * @param row the row of the table, with declared values that may be wrong
 * @param size what a job really uses
 * @param medianSeconds the median run time alone, in seconds
 * @param checkpointSeconds the time between two checkpoints, in seconds of progress
 */
record HiddenKind(KindOfWork row, Resources size, double medianSeconds, double checkpointSeconds) {}
