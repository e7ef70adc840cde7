package org.damasktiller.worker;

import java.util.List;

/**
 * Reports what the attempts of a worker used at one moment in the past.
 *
 * @param measuredAtMillis when the usage was measured, on the worker's clock in milliseconds
 * @param tasks the usage of each attempt that ran at that moment
 */
public record UsageReport(long measuredAtMillis, List<TaskUsage> tasks) {

    /** Copies the list. */
    public UsageReport {
        tasks = List.copyOf(tasks);
    }
}
