package org.damasktiller.scheduler.cell;

import org.damasktiller.scheduler.crash.CrashHistory;

/** Which other starts a worker gets while a run there may crash it. */
enum Quarantine {
    /** The run is not likely to crash its worker. */
    NONE,
    /** Only tasks that are suspect for weak reasons as well. */
    SHARED,
    /** None. */
    ALONE;

    /**
     * Returns the quarantine of a run that starts or is adopted.
     *
     * @param history the crashes of workers under the task
     * @return the quarantine
     */
    static Quarantine of(CrashHistory history) {
        if (!history.isSuspect()) {
            return NONE;
        }
        return history.mayShareWorker() ? SHARED : ALONE;
    }

    /**
     * Returns the stricter one of two quarantines.
     *
     * @param other the other one
     * @return the one that allows fewer starts
     */
    Quarantine strictest(Quarantine other) {
        return compareTo(other) > 0 ? this : other;
    }
}
