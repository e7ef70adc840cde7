package org.damasktiller.decision.guard;

import java.util.List;
import org.damasktiller.identity.WorkerId;

/**
 * Holds a lagging measurement of a guarded service on a worker.
 *
 * @param worker the worker
 * @param fromMillis the begin of the measurement, in milliseconds
 * @param toMillis its end, in milliseconds
 * @param pressure the measured latency divided by the one allowed
 * @param tasks the batch tasks that run on the worker now
 */
public record GuardReading(
        WorkerId worker, long fromMillis, long toMillis, double pressure, List<GuardedTask> tasks) {

    /** Copies the list of tasks. */
    public GuardReading {
        tasks = List.copyOf(tasks);
    }
}
