package org.damasktiller.scheduler.cell;

import java.util.LinkedHashMap;
import java.util.Map;
import org.damasktiller.scheduler.model.StepSpec;

/**
 * Paces the tasks that fill beside tasks that serve. Load pattern: a serving task goes over its
 * target while fillers work beside it, by an amount that belongs to the pair of images and changes
 * within seconds. The fillers to which the tail is put down are slowed at the first figure over the
 * target and given back step by step; if the time over target nears the bound all of them pause.
 */
final class FillerControl {

    /** The part of the allowed time over target after which all fillers pause. */
    private static final double PAUSE_AT = 0.4;

    /** The longest pause, in milliseconds: two figures of half a second and their delay. */
    private static final long LONGEST_PAUSE_MILLIS = 1_600;

    /** The shortest pause, in milliseconds: one figure taken wholly within it. */
    private static final long SHORTEST_PAUSE_MILLIS = 600;

    /** The share of a paused filler, in percent. */
    private static final int PAUSED_PERCENT = 0;

    /** The part of its share that a slowed filler keeps. */
    private static final double SLOW_DOWN = 0.75;

    /** What a slowed filler gets back after a look without harm, in percent. */
    private static final int GIVE_BACK_PERCENT = 30;

    /** The part of the target below which a serving task counts as recovered. */
    private static final double RECOVERED = 0.75;

    /** The least growth of the logarithm of a tail for which a filler is slowed. */
    private static final double LEAST_BLAME = 0.06;

    /** The part of the largest contribution from which on a filler is slowed. */
    private static final double CULPRIT = 0.4;

    /**
     * The part of the target from which on the time over it is counted, since figures are rough:
     * all fillers pause by this time, and it must not be counted too late.
     */
    private static final double OVER = 0.9;

    /** The part of the target from which on fillers are slowed. */
    private static final double HARMED = 1;

    /**
     * The longest time between looks over which a figure is put down to fillers, in milliseconds.
     */
    private static final long LONGEST_GAP_MILLIS = 1_200;

    /** The shortest time over which a figure is put down to fillers, in milliseconds. */
    private static final long SHORTEST_GAP_MILLIS = 200;

    /** The time between repeated orders while a late one may undo them, in milliseconds. */
    private static final long REPEAT_MILLIS = 1_500;

    /** What a filler adds to the logarithm of a tail that counts as its doing for the most part. */
    private static final double WHOLE_PART = 0.15;

    /** The weight of a new figure in the tail that admission goes by. */
    private static final double TAIL_WEIGHT = 0.5;

    /** The predicted tail that does no harm, as a part of the target. */
    private static final double HARMLESS = 0.6;

    /** The shared part. */
    private final CellContext context;

    /** Sends the orders. */
    private final RunOrders orders;

    /** What each pair of images does. */
    private final PairEffects effects;

    /**
     * Creates the control.
     *
     * @param context the shared part
     * @param orders sends the orders
     * @param effects what each pair of images does
     */
    FillerControl(CellContext context, RunOrders orders, PairEffects effects) {
        this.context = context;
        this.orders = orders;
        this.effects = effects;
    }

    /**
     * Judges a worker after a look and sends the orders that follow.
     *
     * @param worker the worker
     */
    void judge(WorkerRecord worker) {
        long now = context.now();
        HarmWatch harm = worker.harm;
        long gap = now - harm.judgedAtMillis;
        if (gap < SHORTEST_GAP_MILLIS) {
            apply(worker);
            return;
        }
        boolean comparable = gap <= LONGEST_GAP_MILLIS;
        long longestOver = 0;
        double worst = 0;
        for (RunRecord run : worker.runs.values()) {
            if (!run.serving() || run.load < 0 || run.phase != RunPhase.RUNNING) {
                continue;
            }
            double tail = (double) run.load / run.targetMillis();
            worst = Math.max(worst, tail);
            run.tail =
                    run.tail == RunRecord.UNKNOWN
                            ? tail
                            : run.tail + TAIL_WEIGHT * (tail - run.tail);
            if (comparable && run.task != null) {
                effects.observe(run.task.step.spec.image(), tail, harm.lastShares);
            }
            longestOver = Math.max(longestOver, overFor(run, tail, now));
        }
        harm.judgedAtMillis = now;
        harm.lastShares = FillerShares.present(worker);
        decide(worker, longestOver, worst, now);
        apply(worker);
    }

    /**
     * Follows for how long a serving task has been over its target.
     *
     * @param run the run
     * @param tail its tail, as a part of its target
     * @param now the time, in milliseconds
     * @return the time, in milliseconds
     */
    private static long overFor(RunRecord run, double tail, long now) {
        if (tail < OVER) {
            run.overSinceMillis = RunRecord.UNKNOWN;
            return 0;
        }
        if (run.overSinceMillis == RunRecord.UNKNOWN) {
            run.overSinceMillis = now;
        }
        return now - run.overSinceMillis;
    }

    /**
     * Decides at which shares the fillers of a worker work.
     *
     * @param worker the worker
     * @param longestOver for how long a serving task has been over its target, in milliseconds
     * @param worst the worst tail, as a part of its target
     * @param now the time, in milliseconds
     */
    private void decide(WorkerRecord worker, long longestOver, double worst, long now) {
        HarmWatch harm = worker.harm;
        long inState = now - harm.sinceMillis;
        if (harm.paused) {
            boolean recovered = worst < RECOVERED && inState >= SHORTEST_PAUSE_MILLIS;
            if (recovered || inState >= LONGEST_PAUSE_MILLIS) {
                harm.set(false, now);
                worker.runs.values().forEach(run -> run.overSinceMillis = RunRecord.UNKNOWN);
            }
        } else if (longestOver >= context.settings.maximumOverTargetMillis() * PAUSE_AT) {
            harm.set(true, now);
            context.log.log("filler.pause", "worker", worker.id, "overMillis", longestOver);
        }
        if (worst >= HARMED) {
            slowCulprits(worker);
        } else if (worst < RECOVERED) {
            giveBack(worker);
        }
    }

    /**
     * Slows the fillers that contribute most to the tails that are over.
     *
     * @param worker the worker
     */
    private void slowCulprits(WorkerRecord worker) {
        Map<RunRecord, Double> blames = new LinkedHashMap<>();
        double largest = 0;
        for (RunRecord run : worker.runs.values()) {
            if (run.filling()) {
                double blame = blame(worker, run);
                blames.put(run, blame);
                largest = Math.max(largest, blame);
            }
        }
        double culprit = Math.max(LEAST_BLAME, largest * CULPRIT);
        blames.forEach(
                (run, blame) -> {
                    if (blame >= culprit) {
                        run.allowedPercent = (int) (run.allowedPercent * SLOW_DOWN);
                    }
                });
    }

    /**
     * Estimates what a filler adds to the tails that are over.
     *
     * @param worker the worker
     * @param filler the filler
     * @return the sum over the tasks that are over of the logarithm of the growth
     */
    private double blame(WorkerRecord worker, RunRecord filler) {
        if (filler.task == null) {
            return 0;
        }
        StepSpec spec = filler.task.step.spec;
        double part = (double) Math.max(0, filler.percent) / RunRecord.FULL_PERCENT;
        double share = part * FillerShares.of(spec, worker);
        double sum = 0;
        for (RunRecord run : worker.runs.values()) {
            if (run.serving() && run.task != null && run.load >= HARMED * run.targetMillis()) {
                sum += share * effects.factor(run.task.step.spec.image(), spec.image());
            }
        }
        return sum;
    }

    /**
     * Gives slowed fillers some of their share back.
     *
     * @param worker the worker
     */
    private static void giveBack(WorkerRecord worker) {
        for (RunRecord run : worker.runs.values()) {
            run.allowedPercent =
                    Math.min(RunRecord.FULL_PERCENT, run.allowedPercent + GIVE_BACK_PERCENT);
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
            run.wantedPercent = worker.harm.paused ? PAUSED_PERCENT : run.allowedPercent;
            long now = context.now();
            boolean doubtful =
                    now < run.paceDoubtUntilMillis && now - run.pacedAtMillis >= REPEAT_MILLIS;
            if (run.percent != run.wantedPercent || doubtful) {
                orders.pace(run);
            }
        }
    }

    /**
     * Rates a predicted tail.
     *
     * @param tail the tail, as a part of its target
     * @return 0 where it does no harm, 1 where it is over the target, and parts in between
     */
    private static double over(double tail) {
        return Math.max(0, Math.min(1, (tail - HARMLESS) / (1 - HARMLESS)));
    }

    /**
     * Predicts how many serving tasks of a worker a filler would help to bring over their target:
     * from their tails now, what has started since they were told, and the filler itself. A task
     * counts in proportion to what the filler adds to its tail.
     *
     * @param worker the worker
     * @param spec the step of the filler
     * @return the number, in parts where the prediction is near the target
     */
    double harm(WorkerRecord worker, StepSpec spec) {
        Map<String, Double> added = FillerShares.added(worker, spec);
        double share = FillerShares.of(spec, worker);
        double harm = 0;
        for (RunRecord run : worker.runs.values()) {
            if (run.serving() && run.task != null) {
                String image = run.task.step.spec.image();
                double tail = run.tail == RunRecord.UNKNOWN ? effects.base(image) : run.tail;
                double own = effects.factor(image, spec.image()) * share;
                double part = 1 - Math.exp(-own / WHOLE_PART);
                harm += part * over(tail * Math.exp(effects.growth(image, added)));
            }
        }
        return harm;
    }
}
