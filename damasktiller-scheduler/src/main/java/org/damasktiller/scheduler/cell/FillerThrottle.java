package org.damasktiller.scheduler.cell;

import java.util.LinkedHashMap;
import java.util.Map;
import org.damasktiller.scheduler.model.StepSpec;

/**
 * Throttles the filler tasks of a worker to protect the tail latency of the serving tasks that run
 * next to them.
 *
 * <p>Load pattern: a serving task exceeds its latency target while fillers run on the same worker.
 * The size of the effect depends on the pair of images, and the effect appears and disappears
 * within seconds. When a tail latency reaches its target, the CPU limits of the fillers that
 * contribute most to it are lowered; they are raised step by step after all serving tasks of the
 * worker have recovered. If the time over target approaches {@link CellSettings#impactMillis()},
 * all fillers of the worker are paused.
 */
final class FillerThrottle {

    /** The fraction of the allowed time over target after which all fillers are paused. */
    private static final double PAUSE_AT = 0.4;

    /**
     * The maximum length of a pause, in milliseconds: two latency reports, which cover 500 ms each,
     * and their delay.
     */
    private static final long LONGEST_PAUSE_MILLIS = 1_600;

    /**
     * The minimum length of a pause, in milliseconds: a pause must contain one whole latency
     * report.
     */
    private static final long SHORTEST_PAUSE_MILLIS = 600;

    /** The CPU limit of a paused filler, in percent of its request. */
    private static final int PAUSED_PERCENT = 0;

    /** The factor by which the CPU limit of a throttled filler is multiplied. */
    private static final double SLOW_DOWN = 0.75;

    /**
     * The number of percentage points by which the CPU limit of a filler is raised after each poll
     * at which all serving tasks of its worker have recovered.
     */
    private static final int GIVE_BACK_PERCENT = 30;

    /** The fraction of the latency target below which a serving task counts as recovered. */
    private static final double RECOVERED = 0.75;

    /**
     * The minimum contribution to the logarithm of a tail latency for which a filler is throttled.
     */
    private static final double LEAST_BLAME = 0.06;

    /** The fraction of the largest contribution at or above which a filler is throttled. */
    private static final double CULPRIT = 0.4;

    /**
     * The fraction of the latency target at or above which a serving task counts as over its
     * target. It is below 1 because reported latencies are noisy, and counting the time over target
     * too late would delay the pause of all fillers.
     */
    private static final double OVER = 0.9;

    /** The fraction of the latency target at or above which fillers are throttled. */
    private static final double HARMED = 1;

    /**
     * The maximum time between two evaluations, in milliseconds, for which a latency report is
     * attributed to the fillers that ran at the earlier one.
     */
    private static final long LONGEST_GAP_MILLIS = 1_200;

    /**
     * The minimum time between two evaluations, in milliseconds, for which a latency report is
     * attributed to fillers. Polls that are answered earlier are not evaluated.
     */
    private static final long SHORTEST_GAP_MILLIS = 200;

    /**
     * The interval at which a CPU limit is sent again while an earlier request that got no answer
     * may still arrive and override it, in milliseconds.
     */
    private static final long REPEAT_MILLIS = 1_500;

    /**
     * The contribution to the logarithm of a tail latency for which 63% (1 - 1/e) of the predicted
     * excess is attributed to a filler.
     */
    private static final double WHOLE_PART = 0.15;

    /** The weight of a new latency report in the smoothed tail latency that admission uses. */
    private static final double TAIL_WEIGHT = 0.5;

    /**
     * The predicted tail latency that does not count against a filler, as a fraction of the target.
     */
    private static final double HARMLESS = 0.6;

    /** The state, settings and ports shared by the components of the cell's owner. */
    private final CellCore core;

    /** Sends the CPU limits to the workers. */
    private final RunRequestSender requestSender;

    /** Predicts the effect of fillers on tail latencies, by pair of images. */
    private final InterferenceModel interference;

    /**
     * Creates a throttle for the fillers of all workers of a cell.
     *
     * @param core the state, settings and ports shared by the components of the cell's owner
     * @param requestSender sends the CPU limits to the workers
     * @param interference learns and predicts the effect of fillers on tail latencies, by pair of
     *     images
     */
    FillerThrottle(CellCore core, RunRequestSender requestSender, InterferenceModel interference) {
        this.core = core;
        this.requestSender = requestSender;
        this.interference = interference;
    }

    /**
     * Evaluates the latencies that a worker has reported in its answer to a poll, and sends the CPU
     * limits of its fillers.
     *
     * @param worker the worker that answered
     */
    void judge(WorkerRecord worker) {
        long now = core.now();
        FillerThrottleState state = worker.throttleState;
        long gap = now - state.judgedAtMillis;
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
                interference.observe(run.task.step.spec.image(), tail, state.lastShares);
            }
            longestOver = Math.max(longestOver, overFor(run, tail, now));
        }
        state.judgedAtMillis = now;
        state.lastShares = FillerCpuShares.present(worker);
        decide(worker, longestOver, worst, now);
        apply(worker);
    }

    /**
     * Tracks for how long a serving task has continuously been over its target.
     *
     * @param run the run of the serving task
     * @param tail its tail latency, as a fraction of its target
     * @param now the current time, in milliseconds
     * @return the time over target, in milliseconds, or 0 if the task is not over its target
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
     * Pauses or resumes the fillers of a worker, and adjusts their CPU limits.
     *
     * @param worker the worker
     * @param longestOver the longest time for which a serving task has been over its target, in
     *     milliseconds
     * @param worst the highest tail latency, as a fraction of the target of its task
     * @param now the current time, in milliseconds
     */
    private void decide(WorkerRecord worker, long longestOver, double worst, long now) {
        FillerThrottleState state = worker.throttleState;
        long inState = now - state.sinceMillis;
        if (state.paused) {
            boolean recovered = worst < RECOVERED && inState >= SHORTEST_PAUSE_MILLIS;
            if (recovered || inState >= LONGEST_PAUSE_MILLIS) {
                state.set(false, now);
                worker.runs.values().forEach(run -> run.overSinceMillis = RunRecord.UNKNOWN);
            }
        } else if (longestOver >= core.settings.impactMillis() * PAUSE_AT) {
            state.set(true, now);
            core.log.log("filler.pause", "worker", worker.id, "overMillis", longestOver);
        }
        if (worst >= HARMED) {
            slowCulprits(worker);
        } else if (worst < RECOVERED) {
            giveBack(worker);
        }
    }

    /**
     * Lowers the CPU limits of the fillers that contribute most to the tail latencies that are over
     * their targets.
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
     * Estimates the contribution of a filler to the tail latencies that are over their targets.
     *
     * @param worker the worker
     * @param filler the run of the filler
     * @return the sum of its contributions to the logarithms of these tail latencies
     */
    private double blame(WorkerRecord worker, RunRecord filler) {
        if (filler.task == null) {
            return 0;
        }
        StepSpec spec = filler.task.step.spec;
        double part = (double) Math.max(0, filler.percent) / RunRecord.FULL_PERCENT;
        double share = part * FillerCpuShares.of(spec, worker);
        double sum = 0;
        for (RunRecord run : worker.runs.values()) {
            if (run.serving() && run.task != null && run.load >= HARMED * run.targetMillis()) {
                sum += share * interference.factor(run.task.step.spec.image(), spec.image());
            }
        }
        return sum;
    }

    /**
     * Raises the CPU limits of throttled fillers by one step.
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
     * Sends the CPU limits of fillers that differ from the limits that the worker has confirmed.
     *
     * @param worker the worker
     */
    private void apply(WorkerRecord worker) {
        for (RunRecord run : worker.runs.values()) {
            if (!run.filling() || run.phase != RunPhase.RUNNING) {
                continue;
            }
            run.wantedPercent = worker.throttleState.paused ? PAUSED_PERCENT : run.allowedPercent;
            long now = core.now();
            boolean doubtful =
                    now < run.paceDoubtUntilMillis && now - run.pacedAtMillis >= REPEAT_MILLIS;
            if (run.percent != run.wantedPercent || doubtful) {
                requestSender.pace(run);
            }
        }
    }

    /**
     * Converts a predicted tail latency into a penalty.
     *
     * @param tail the tail latency, as a fraction of its target
     * @return 0 up to the harmless level, 1 at the target and above, and linear in between
     */
    private static double over(double tail) {
        return Math.max(0, Math.min(1, (tail - HARMLESS) / (1 - HARMLESS)));
    }

    /**
     * Predicts how many serving tasks of a worker a filler would help to push over their targets.
     * The prediction starts from the smoothed tail latencies and adds the effect of the fillers
     * that have started since the last evaluation and of the new filler. A task counts in
     * proportion to the contribution of the new filler to its tail latency.
     *
     * @param worker the worker on which the filler would start
     * @param spec the step of the filler
     * @return the expected number of serving tasks, with fractions for predictions close to the
     *     target
     */
    double harm(WorkerRecord worker, StepSpec spec) {
        Map<String, Double> added = FillerCpuShares.added(worker, spec);
        double share = FillerCpuShares.of(spec, worker);
        double harm = 0;
        for (RunRecord run : worker.runs.values()) {
            if (run.serving() && run.task != null) {
                String image = run.task.step.spec.image();
                double tail = run.tail == RunRecord.UNKNOWN ? interference.base(image) : run.tail;
                double own = interference.factor(image, spec.image()) * share;
                double part = 1 - Math.exp(-own / WHOLE_PART);
                harm += part * over(tail * Math.exp(interference.growth(image, added)));
            }
        }
        return harm;
    }
}
