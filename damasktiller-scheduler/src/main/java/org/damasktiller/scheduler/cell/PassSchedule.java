package org.damasktiller.scheduler.cell;

/** Spaces the passes over the waiting tasks of a cell. */
final class PassSchedule {

    /**
     * The number of workers for which the shortest time between two passes grows by a millisecond.
     * A pass takes longer with more workers, and with more workers there are also more events that
     * ask for one.
     */
    private static final int WORKERS_PER_PASS_MILLISECOND = 20;

    /**
     * The number of steps of open submissions for which the shortest time between two passes grows
     * by a millisecond. A pass looks at each of them.
     */
    private static final long STEPS_PER_PASS_MILLISECOND = 1_000;

    /** The shared state of the cell's owner. */
    private final CellContext context;

    /** Runs a pass. */
    private final Runnable pass;

    /** Whether a pass is scheduled. */
    private boolean scheduled;

    /** When the last pass began, in milliseconds. */
    private long lastPassMillis;

    /**
     * Creates a schedule without a pass.
     *
     * @param context the shared state of the cell's owner
     * @param pass runs a pass
     */
    PassSchedule(CellContext context, Runnable pass) {
        this.context = context;
        this.pass = pass;
    }

    /**
     * Schedules a pass unless one is scheduled or the term has ended. The time between passes grows
     * with the number of workers and of the steps at which the last one has looked.
     */
    void request() {
        if (scheduled || context.ended) {
            return;
        }
        scheduled = true;
        long intervalMillis =
                context.workers.size() / WORKERS_PER_PASS_MILLISECOND
                        + context.workCounters.lastPassSteps() / STEPS_PER_PASS_MILLISECOND;
        context.schedule(
                Math.max(1, lastPassMillis + intervalMillis - context.now()),
                () -> {
                    scheduled = false;
                    lastPassMillis = context.now();
                    context.workCounters.onPass();
                    context.loopUsage.run("pass", pass);
                });
    }
}
