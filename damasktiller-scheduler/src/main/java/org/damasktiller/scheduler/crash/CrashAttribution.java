package org.damasktiller.scheduler.crash;

import java.util.List;

/**
 * Decides which runs the crash of a worker counts against.
 *
 * <p>Load patterns: a task crashes each worker as soon as it starts there, beside tasks that have
 * run for some time; a task crashes its worker later; workers crash for reasons of their own, also
 * many at once.
 */
public final class CrashAttribution {

    /** The number of workers that crash at about the same time, from which on it is a wave. */
    private static final int MIN_WAVE_WORKERS = 4;

    /** The number of workers per worker of a wave: a wave concerns at least one in this many. */
    private static final int WORKERS_PER_WAVE_WORKER = 10;

    /** Prevents instantiation. */
    private CrashAttribution() {}

    /**
     * Returns whether so many workers crash at about the same time that no task is the likely
     * cause.
     *
     * @param crashed the number of workers that crashed at about the same time
     * @param workers the number of all workers
     * @return whether it is a wave
     */
    public static boolean isWave(int crashed, int workers) {
        return crashed >= Math.max(MIN_WAVE_WORKERS, workers / WORKERS_PER_WAVE_WORKER);
    }

    /**
     * Counts the runs that may be the cause of a crash.
     *
     * @param runs the runs on the worker
     * @return the number of those that have not been active for long enough to show that they are
     *     not
     */
    public static long countCandidates(List<CrashObservation> runs) {
        return runs.stream().filter(CrashObservation::isCandidate).count();
    }

    /**
     * Determines how each run on a worker is involved in its crash.
     *
     * @param runs the runs
     * @param commonCause whether other workers crashed at about the same time that no run explains,
     *     or many did
     * @return the role of each run, in the same order
     */
    public static List<CrashRole> attribute(List<CrashObservation> runs, boolean commonCause) {
        long candidates = countCandidates(runs);
        return runs.stream().map(run -> role(run, candidates, commonCause)).toList();
    }

    /**
     * Determines how a run is involved. With a common cause no task becomes suspect at once, but
     * suspects are not started without end.
     *
     * @param run the run
     * @param candidates the number of runs on the worker that may be the cause
     * @param commonCause whether a cause that concerns several workers is likely
     * @return the role
     */
    private static CrashRole role(CrashObservation run, long candidates, boolean commonCause) {
        if (run.isCandidate()) {
            if (!commonCause) {
                return CrashRole.CANDIDATE;
            }
            return run.history().isSuspect() ? CrashRole.UNCERTAIN : CrashRole.BYSTANDER;
        }
        boolean forGood = run.history().isSoundForGood(run.knownActiveMillis(), run.longRunning());
        return candidates > 0 || forGood ? CrashRole.UNINVOLVED : CrashRole.BYSTANDER;
    }
}
