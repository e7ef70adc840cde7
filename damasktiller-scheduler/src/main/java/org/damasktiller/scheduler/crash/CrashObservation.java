package org.damasktiller.scheduler.crash;

/**
 * A run on a worker that has crashed.
 *
 * @param history the earlier crashes of the task
 * @param knownActiveMillis how long the run is known to have been active, in milliseconds
 * @param longRunning whether the task is long-running
 */
public record CrashObservation(CrashHistory history, long knownActiveMillis, boolean longRunning) {

    /**
     * Returns whether the run may be the cause of the crash.
     *
     * @return whether it has not been active for long enough to show that it is not
     */
    boolean isCandidate() {
        return !history.isSound(knownActiveMillis, longRunning);
    }
}
