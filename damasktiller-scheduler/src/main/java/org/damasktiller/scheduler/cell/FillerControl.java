package org.damasktiller.scheduler.cell;

/**
 * Paces the tasks that fill beside tasks that serve. Load pattern: a serving task goes over its
 * target while fillers work beside it, by an amount that changes within seconds; fillers pause
 * before the time over target reaches the bound, and go on when the serving tasks have recovered.
 */
final class FillerControl {

    /** The part of the allowed time over target after which fillers pause. */
    private static final double PAUSE_AT = 0.45;

    /** The longest pause, in milliseconds: two figures of half a second and their delay. */
    private static final long LONGEST_PAUSE_MILLIS = 1_600;

    /** The shortest pause, in milliseconds: one figure taken wholly within it. */
    private static final long SHORTEST_PAUSE_MILLIS = 600;

    /** The share of a paused filler, in percent. */
    private static final int PAUSED_PERCENT = 0;

    /** The shared part. */
    private final CellCore core;

    /** Sends the orders. */
    private final RunOrders orders;

    /**
     * Creates the control.
     *
     * @param core the shared part
     * @param orders sends the orders
     */
    FillerControl(CellCore core, RunOrders orders) {
        this.core = core;
        this.orders = orders;
    }

    /**
     * Judges a worker after a look and sends the orders that follow.
     *
     * @param worker the worker
     */
    void judge(WorkerRecord worker) {
        long now = core.now();
        long longestOver = 0;
        boolean anyOver = false;
        for (RunRecord run : worker.runs.values()) {
            if (!run.serving() || run.load < 0 || run.phase != RunPhase.RUNNING) {
                continue;
            }
            boolean over = run.load > run.targetMillis();
            anyOver |= over;
            if (!over) {
                run.overSinceMillis = RunRecord.UNKNOWN;
            } else if (run.overSinceMillis == RunRecord.UNKNOWN) {
                run.overSinceMillis = now;
            }
            if (over) {
                longestOver = Math.max(longestOver, now - run.overSinceMillis);
            }
        }
        decide(worker, longestOver, anyOver, now);
        apply(worker);
    }

    /**
     * Decides whether the fillers of a worker pause.
     *
     * @param worker the worker
     * @param longestOver for how long a serving task has been over its target, in milliseconds
     * @param anyOver whether a serving task is over its target
     * @param now the time, in milliseconds
     */
    private void decide(WorkerRecord worker, long longestOver, boolean anyOver, long now) {
        HarmWatch harm = worker.harm;
        long inState = now - harm.sinceMillis;
        if (!harm.paused && longestOver >= core.settings.impactMillis() * PAUSE_AT) {
            harm.set(true, now);
            core.log.log("filler.pause", "worker", worker.id, "overMillis", longestOver);
            return;
        }
        boolean recovered = !anyOver && inState >= SHORTEST_PAUSE_MILLIS;
        if (harm.paused && (recovered || inState >= LONGEST_PAUSE_MILLIS)) {
            harm.set(false, now);
            for (RunRecord run : worker.runs.values()) {
                run.overSinceMillis = RunRecord.UNKNOWN;
            }
        }
    }

    /**
     * Sends the orders that bring the fillers of a worker to the wanted share.
     *
     * @param worker the worker
     */
    private void apply(WorkerRecord worker) {
        for (RunRecord run : worker.runs.values()) {
            if (!run.filling() || run.phase != RunPhase.RUNNING) {
                continue;
            }
            run.wantedPercent = worker.harm.paused ? PAUSED_PERCENT : RunRecord.FULL_PERCENT;
            if (run.percent != run.wantedPercent) {
                orders.pace(run);
            }
        }
    }
}
