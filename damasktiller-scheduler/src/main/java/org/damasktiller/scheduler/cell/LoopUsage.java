package org.damasktiller.scheduler.cell;

/**
 * Logs each piece of an owner's work that has held the event loop for long. Meanwhile the process
 * renews no lease and answers no caller.
 */
final class LoopUsage {

    /** The shortest time that is logged, in milliseconds. */
    private static final long MIN_LOGGED_MILLIS = 100;

    /** The shared state of the cell's owner. */
    private final CellContext context;

    /**
     * Creates a log of the work of an owner.
     *
     * @param context the shared state of the cell's owner
     */
    LoopUsage(CellContext context) {
        this.context = context;
    }

    /**
     * Does a piece of work, and logs it if that has taken long.
     *
     * @param work what the work is, for the log
     * @param action does the work
     */
    void run(String work, Runnable action) {
        long startMillis = context.now();
        try {
            action.run();
        } finally {
            long millis = context.now() - startMillis;
            if (millis >= MIN_LOGGED_MILLIS) {
                log(work, millis);
            }
        }
    }

    /**
     * Logs a piece of work with the submission that has the most steps.
     *
     * @param work what the work was
     * @param millis how long it has taken, in milliseconds
     */
    private void log(String work, long millis) {
        String largestId = "";
        int mostSteps = 0;
        for (Job job : context.jobs.values()) {
            int steps = job.accepted.submission().steps().size() * job.occurrences.size();
            if (steps > mostSteps) {
                mostSteps = steps;
                largestId = job.id();
            }
        }
        context.log.log(
                "loop.held",
                "cell",
                context.cell,
                "work",
                work,
                "millis",
                millis,
                "submissions",
                context.jobs.size(),
                "waitingSteps",
                context.waitingSteps,
                "workers",
                context.workers.size(),
                "largest",
                largestId,
                "largestSteps",
                mostSteps);
    }
}
