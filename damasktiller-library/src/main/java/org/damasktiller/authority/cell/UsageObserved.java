package org.damasktiller.authority.cell;

import org.damasktiller.identity.WorkerId;
import org.damasktiller.worker.UsageReport;

/**
 * Passes on a new usage report of a worker.
 *
 * @param worker the worker
 * @param usage the report
 */
public record UsageObserved(WorkerId worker, UsageReport usage) implements CellAction {}
