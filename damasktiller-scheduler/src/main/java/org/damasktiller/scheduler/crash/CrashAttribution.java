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

    /** The number of workers per worker of a mass crash. */
    private static final int WORKERS_PER_MASS_CRASH_WORKER = 3;

    /**
     * The number of mass crashes that do not count against a task that had been active. Later ones
     * count, so that tasks that crash many workers at once are not started without end.
     */
    private static final int MAX_MASS_CRASHES = 2;

    /** Prevents instantiation. */
    private CrashAttribution() {}

    /**
     * Determines how likely a crash has a common cause with others.
     *
     * @param crashed the number of workers that crashed at about the same time
     * @param workers the number of all workers
     * @param unexplained whether one of the others had no run that may be the cause
     * @return the likelihood
     */
    public static CommonCause commonCause(int crashed, int workers, boolean unexplained) {
        if (crashed >= Math.max(MIN_WAVE_WORKERS, workers / WORKERS_PER_MASS_CRASH_WORKER)) {
            return CommonCause.MASS_CRASH;
        }
        return unexplained || isWave(crashed, workers) ? CommonCause.LIKELY : CommonCause.UNLIKELY;
    }

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
     * @param commonCause how likely other workers crashed for the same cause
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
     * @param commonCause how likely a cause is that concerns several workers
     * @return the role
     */
    private static CrashRole role(CrashObservation run, long candidates, CommonCause commonCause) {
        if (run.isCandidate()) {
            return candidateRole(run.history(), commonCause);
        }
        boolean forGood = run.history().isSoundForGood(run.knownActiveMillis(), run.longRunning());
        boolean explainedByOthers =
                commonCause == CommonCause.MASS_CRASH && run.massCrashes() < MAX_MASS_CRASHES;
        return candidates > 0 || forGood || explainedByOthers
                ? CrashRole.UNINVOLVED
                : CrashRole.BYSTANDER;
    }

    /**
     * Determines how a run that may be the cause is involved. A run after a mass crash is disproved
     * as the cause of the next one by a sound start, which need not be its end.
     *
     * @param history the earlier crashes of the task
     * @param commonCause how likely a cause is that concerns several workers
     * @return the role
     */
    private static CrashRole candidateRole(CrashHistory history, CommonCause commonCause) {
        if (commonCause == CommonCause.UNLIKELY) {
            return CrashRole.CANDIDATE;
        }
        boolean repeatedMassCrash =
                commonCause == CommonCause.MASS_CRASH && history.bystanderCrashes() > 0;
        return history.isSuspect() || repeatedMassCrash ? CrashRole.UNCERTAIN : CrashRole.BYSTANDER;
    }
}
