package org.damasktiller.scheduler.cell;

/**
 * Counts what the passes over the waiting tasks and the ends of runs take, in numbers that do not
 * depend on the speed of the machine.
 */
final class WorkCounters {

    /** The number of passes since the last report. */
    private long passes;

    /** The number of steps of open submissions at which these passes have looked. */
    private long visitedSteps;

    /** The number of steps at which the last pass has looked. */
    private long lastPassSteps;

    /** The number of run times that were estimated since the last report. */
    private long estimates;

    /** The number of ends of runs since the last report. */
    private long ends;

    /** The number of steps of open submissions at which these ends have looked. */
    private long endSteps;

    /** Creates counters at zero. */
    WorkCounters() {}

    /** Counts a pass that begins. */
    void onPass() {
        passes++;
        lastPassSteps = 0;
    }

    /**
     * Counts steps at which a pass looks.
     *
     * @param count the number of steps
     */
    void onStepsVisited(int count) {
        visitedSteps += count;
        lastPassSteps += count;
    }

    /**
     * Returns at how many steps the last pass has looked.
     *
     * @return the number, 0 before the first pass
     */
    long lastPassSteps() {
        return lastPassSteps;
    }

    /** Counts an estimate of a run time. */
    void onEstimate() {
        estimates++;
    }

    /** Counts the end of a run. */
    void onEnd() {
        ends++;
    }

    /** Counts a step at which the end of a run looks. */
    void onStepOfEnd() {
        endSteps++;
    }

    /**
     * Logs the counts since the last report, unless there was no pass, and sets them to zero.
     *
     * @param context the shared state of the cell's owner
     */
    void report(CellContext context) {
        if (passes > 0) {
            context.log.log(
                    "owner.passes",
                    "cell",
                    context.cell,
                    "passes",
                    passes,
                    "visitedSteps",
                    visitedSteps,
                    "estimates",
                    estimates,
                    "ends",
                    ends,
                    "endSteps",
                    endSteps,
                    "waitingSteps",
                    context.waitingSteps);
        }
        passes = 0;
        visitedSteps = 0;
        estimates = 0;
        ends = 0;
        endSteps = 0;
    }
}
