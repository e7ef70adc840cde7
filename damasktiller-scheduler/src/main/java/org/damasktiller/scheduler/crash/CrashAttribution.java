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
     * @param commonCause what is known of a cause that concerns several workers
     * @return the role of each run, in the same order
     */
    public static List<CrashRole> attribute(List<CrashObservation> runs, CommonCause commonCause) {
        long candidates = countCandidates(runs);
        return runs.stream().map(run -> role(run, candidates, commonCause)).toList();
    }

    /**
     * Determines how a run is involved. With a common cause no task becomes suspect at once, but
     * suspects are not started without end.
     *
     * @param run the run
     * @param candidates the number of runs on the worker that may be the cause
     * @param commonCause what is known of a cause that concerns several workers
     * @return the role
     */
    private static CrashRole role(CrashObservation run, long candidates, CommonCause commonCause) {
        if (run.isCandidate()) {
            return run.history().isSuspect()
                    ? roleOfSuspect(run.history(), candidates, commonCause)
                    : roleOfUnsuspected(commonCause);
        }
        boolean forGood = run.history().isSoundForGood(run.knownActiveMillis(), run.longRunning());
        return candidates > 0 || forGood ? CrashRole.UNINVOLVED : CrashRole.BYSTANDER;
    }

    /**
     * Determines how a run that may be the cause is involved, if its task is not suspect yet.
     *
     * @param commonCause what is known of a cause that concerns several workers
     * @return the role
     */
    private static CrashRole roleOfUnsuspected(CommonCause commonCause) {
        return commonCause == CommonCause.NONE ? CrashRole.CANDIDATE : CrashRole.BYSTANDER;
    }

    /**
     * Determines how a run of a suspect task is involved. Suspects that share workers may crash
     * many of them together, so that only crashes of workers without candidates clear them.
     *
     * @param history the earlier crashes of the task
     * @param candidates the number of runs on the worker that may be the cause
     * @param commonCause what is known of a cause that concerns several workers
     * @return the role
     */
    private static CrashRole roleOfSuspect(
            CrashHistory history, long candidates, CommonCause commonCause) {
        if (history.mayShareWorker() && commonCause == CommonCause.SHOWN) {
            return CrashRole.BYSTANDER;
        }
        boolean single = candidates == 1 || !history.mayShareWorker();
        return single && commonCause == CommonCause.NONE
                ? CrashRole.CANDIDATE
                : CrashRole.UNCERTAIN;
    }
}
