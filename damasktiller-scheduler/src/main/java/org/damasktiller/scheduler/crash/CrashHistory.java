package org.damasktiller.scheduler.crash;

/**
 * The crashes of workers under the runs of a task.
 *
 * <p>The platform allows two more starts of a task after three workers have crashed under it. Sound
 * tasks on these workers must not be given up, so that a suspect task gets its next starts where no
 * other task is a likely cause, and is given up only after several crashes in a row.
 *
 * @param crashes the number of crashes that the task may have caused
 * @param bystanderCrashes the number of crashes under runs that had been active for some time, or
 *     while many workers crashed, and of those that a sound run has followed
 * @param unknownOutcomes the number of runs that may have crashed their worker, but may as well
 *     have ended otherwise
 */
public record CrashHistory(int crashes, int bystanderCrashes, int unknownOutcomes) {

    /** The history of a task under which no worker has crashed. */
    public static final CrashHistory NONE = new CrashHistory(0, 0, 0);

    /** The number of bystander crashes, or of unknown outcomes, that make a task suspect. */
    private static final int SUSPECT_WEAK_SIGNS = 2;

    /** The number of crashes from which on a task is given up if it may have caused one of them. */
    private static final int MAX_CRASHES = 3;

    /**
     * The number of starts, each with a crash or an unknown outcome, from which on a task is given
     * up; given by the platform's documentation.
     */
    private static final int MAX_STARTS = 5;

    /** How long a run must be active to show that it does not crash its worker by starting. */
    private static final long SOUND_START_MILLIS = 1_000;

    /** How long a run of a long-running task must be active to end any suspicion. */
    private static final long SOUND_RUN_MILLIS = 5_000;

    /**
     * Returns whether the task may be the cause of crashes, so that its next start must harm
     * nothing else.
     *
     * @return whether it is suspect
     */
    public boolean isSuspect() {
        return crashes > 0
                || bystanderCrashes >= SUSPECT_WEAK_SIGNS
                || unknownOutcomes >= SUSPECT_WEAK_SIGNS;
    }

    /**
     * Returns whether the task is suspect only since workers crashed for causes that were more
     * likely than it, so that it may start beside others of its kind. The last start that it is
     * allowed is alone.
     *
     * @return whether it is suspect and may share a worker with such tasks
     */
    public boolean mayShareWorker() {
        return isSuspect()
                && crashes == 0
                && unknownOutcomes == 0
                && bystanderCrashes < MAX_STARTS - 1;
    }

    /**
     * Returns whether the task is the cause of crashes and must not start again.
     *
     * @return whether it is given up
     */
    public boolean isGivenUp() {
        return (crashes > 0 && crashes + bystanderCrashes >= MAX_CRASHES)
                || (crashes + bystanderCrashes > 0
                        && crashes + bystanderCrashes + unknownOutcomes >= MAX_STARTS);
    }

    /**
     * Returns whether a run has been active for so long that the task is not the cause of a crash,
     * as far as its history tells. A task that is suspect only for crashes under runs that had been
     * active for some time has to end, or to be active for longer than these.
     *
     * @param knownActiveMillis how long the run is known to have been active, in milliseconds
     * @param longRunning whether the task is long-running
     * @return whether it is sound
     */
    public boolean isSound(long knownActiveMillis, boolean longRunning) {
        if (bystanderCrashes >= SUSPECT_WEAK_SIGNS) {
            return isSoundForGood(knownActiveMillis, longRunning);
        }
        return knownActiveMillis >= SOUND_START_MILLIS;
    }

    /**
     * Returns whether a run has been active for so long that earlier crashes say nothing about its
     * task any more.
     *
     * @param knownActiveMillis how long the run is known to have been active, in milliseconds
     * @param longRunning whether the task is long-running; others end soon
     * @return whether no crash counts against it
     */
    public boolean isSoundForGood(long knownActiveMillis, boolean longRunning) {
        return longRunning && knownActiveMillis >= SOUND_RUN_MILLIS;
    }

    /**
     * Returns the history with another crash.
     *
     * @param role how the task was involved
     * @return the new history
     */
    public CrashHistory withCrash(CrashRole role) {
        return switch (role) {
            case UNINVOLVED -> this;
            case BYSTANDER -> new CrashHistory(crashes, bystanderCrashes + 1, unknownOutcomes);
            case UNCERTAIN -> withUnknownOutcome();
            case CANDIDATE -> new CrashHistory(crashes + 1, bystanderCrashes, unknownOutcomes);
        };
    }

    /**
     * Returns the history with another start whose outcome will not be known.
     *
     * @return the new history
     */
    public CrashHistory withUnknownOutcome() {
        return new CrashHistory(crashes, bystanderCrashes, unknownOutcomes + 1);
    }

    /**
     * Returns the history after an unknown outcome has turned out to be a crash.
     *
     * @return the new history, the same if a sound run has shown since that the task is not the
     *     cause
     */
    public CrashHistory withOutcomeShown() {
        return unknownOutcomes == 0
                ? this
                : new CrashHistory(crashes + 1, bystanderCrashes, unknownOutcomes - 1);
    }

    /**
     * Returns the history after a run that was sound for some time. It may still crash its worker
     * later, so that earlier crashes and unknown outcomes go on to count as starts.
     *
     * @param forGood whether no crash counts against the task any more
     * @return the history with the earlier crashes as those of a bystander, or without any
     */
    public CrashHistory withSoundRun(boolean forGood) {
        return forGood ? NONE : new CrashHistory(0, crashes + bystanderCrashes, unknownOutcomes);
    }
}
