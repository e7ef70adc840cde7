package org.damasktiller.scheduler.cell;

import java.util.Map;
import org.damasktiller.scheduler.interference.InterferenceModel;
import org.damasktiller.scheduler.model.StepSpec;
import org.damasktiller.scheduler.policy.Policy;

/**
 * Protects the tail latency of serving tasks from the fillers next to them: predicts the impact of
 * a filler before it starts, and pauses the fillers of a worker whose serving tasks are over their
 * targets for too long.
 *
 * <p>Load pattern: a serving task exceeds its latency target while fillers run on the same worker.
 * The size of the effect depends on the pair of images, and the effect appears and disappears
 * within seconds. Fillers are paused for a short time when the time over target approaches {@link
 * CellSettings#maximumOverTargetMillis()}. They are not slowed down before: slower fillers stay for
 * longer and disturb for longer.
 */
final class FillerThrottle {

    /** The fraction of the allowed time over target after which all fillers are paused. */
    private static final double PAUSE_FRACTION = 0.4;

    /**
     * The maximum length of a pause, in milliseconds: two latency reports, which cover 500 ms each,
     * and their delay.
     */
    private static final long MAX_PAUSE_MILLIS = 1_600;

    /**
     * The minimum length of a pause, in milliseconds: a pause must contain one whole latency
     * report.
     */
    private static final long MIN_PAUSE_MILLIS = 600;

    /** The CPU limit of a paused filler, in percent of its request. */
    private static final int PAUSED_CPU_LIMIT_PERCENT = 0;

    /** The fraction of the latency target below which a serving task counts as recovered. */
    private static final double RECOVERED_FRACTION = 0.75;

    /**
     * The fraction of the latency target at or above which a serving task counts as over its
     * target. It is below 1 because reported latencies are noisy, and counting the time over target
     * too late would delay the pause of all fillers.
     */
    private static final double OVER_TARGET_FRACTION = 0.9;

    /**
     * The maximum time between two evaluations, in milliseconds, for which a latency report is
     * attributed to the fillers that ran at the earlier one.
     */
    private static final long MAX_EVALUATION_GAP_MILLIS = 1_200;

    /**
     * The minimum time between two evaluations, in milliseconds, for which a latency report is
     * attributed to fillers. Polls that are answered earlier are not evaluated.
     */
    private static final long MIN_EVALUATION_GAP_MILLIS = 200;

    /**
     * The interval at which a CPU limit is sent again while an earlier request that got no answer
     * may still arrive and override it, in milliseconds.
     */
    private static final long RESEND_INTERVAL_MILLIS = 1_500;

    /**
     * The contribution to the logarithm of a tail latency for which 63% (1 - 1/e) of the predicted
     * excess is attributed to a filler.
     */
    private static final double ATTRIBUTION_SCALE = 0.15;

    /** The weight of a new latency report in the smoothed tail latency that admission uses. */
    private static final double SMOOTHING_WEIGHT = 0.5;

    /**
     * The predicted tail latency that does not count against a filler, as a fraction of the target.
     */
    private static final double HARMLESS_FRACTION = 0.6;

    /**
     * The same with a margin: reported tails vary by a factor of two and more from one report to
     * the next.
     */
    private static final double HARMLESS_FRACTION_WITH_MARGIN = 0.35;

    /** The shared state of the cell's owner. */
    private final CellContext context;

    /** Sends the CPU limits to the workers. */
    private final RunRequestSender requestSender;

    /** Predicts the effect of fillers on tail latencies, by pair of images. */
    private final InterferenceModel interference;

    /**
     * Creates a throttle for the fillers of all workers of a cell.
     *
     * @param context the shared state of the cell's owner
     * @param requestSender sends the CPU limits to the workers
     * @param interference learns and predicts the effect of fillers on tail latencies, by pair of
     *     images
     */
    FillerThrottle(
            CellContext context, RunRequestSender requestSender, InterferenceModel interference) {
        this.context = context;
        this.requestSender = requestSender;
        this.interference = interference;
    }

    /**
     * Evaluates the latencies that a worker has reported in its answer to a poll, and sends the CPU
     * limits of its fillers.
     *
     * @param worker the worker that answered
     */
    void evaluate(WorkerRecord worker) {
        long now = context.now();
        FillerThrottleState state = worker.throttleState;
        long gapMillis = now - state.evaluatedAtMillis;
        if (gapMillis < MIN_EVALUATION_GAP_MILLIS) {
            sendLimits(worker);
            return;
        }
        boolean attributable = gapMillis <= MAX_EVALUATION_GAP_MILLIS;
        long maxOverTargetMillis = 0;
        double maxLatencyRatio = 0;
        for (RunRecord run : worker.runs.values()) {
            if (!run.isServing() || run.reportedLoad < 0 || run.phase != RunPhase.RUNNING) {
                continue;
            }
            double latencyRatio = (double) run.reportedLoad / run.latencyTargetMillis();
            maxLatencyRatio = Math.max(maxLatencyRatio, latencyRatio);
            run.smoothedLatencyRatio =
                    run.smoothedLatencyRatio == RunRecord.UNKNOWN
                            ? latencyRatio
                            : run.smoothedLatencyRatio
                                    + SMOOTHING_WEIGHT * (latencyRatio - run.smoothedLatencyRatio);
            if (attributable
                    && run.task != null
                    && context.settings.policies().isEnabled(Policy.LEARNED_INTERFERENCE)) {
                interference.observe(run.task.step.spec.image(), latencyRatio, state.lastCpuShares);
            }
            maxOverTargetMillis =
                    Math.max(maxOverTargetMillis, updateOverTarget(run, latencyRatio, now));
        }
        state.evaluatedAtMillis = now;
        state.predictedImpacts.clear();
        state.lastCpuShares = FillerCpuShares.current(worker);
        updatePause(worker, maxOverTargetMillis, maxLatencyRatio, now);
        sendLimits(worker);
    }

    /**
     * Tracks for how long a serving task has continuously been over its target.
     *
     * @param run the run of the serving task
     * @param latencyRatio its tail latency, as a fraction of its target
     * @param now the current time, in milliseconds
     * @return the time over target, in milliseconds, or 0 if the task is not over its target
     */
    private static long updateOverTarget(RunRecord run, double latencyRatio, long now) {
        if (latencyRatio < OVER_TARGET_FRACTION) {
            run.overTargetSinceMillis = RunRecord.UNKNOWN;
            return 0;
        }
        if (run.overTargetSinceMillis == RunRecord.UNKNOWN) {
            run.overTargetSinceMillis = now;
        }
        return now - run.overTargetSinceMillis;
    }

    /**
     * Pauses or resumes the fillers of a worker.
     *
     * @param worker the worker
     * @param maxOverTargetMillis the longest time for which a serving task has been over its
     *     target, in milliseconds
     * @param maxLatencyRatio the highest tail latency, as a fraction of the target of its task
     * @param now the current time, in milliseconds
     */
    private void updatePause(
            WorkerRecord worker, long maxOverTargetMillis, double maxLatencyRatio, long now) {
        FillerThrottleState state = worker.throttleState;
        long millisInState = now - state.changedAtMillis;
        if (state.paused) {
            boolean recovered =
                    maxLatencyRatio < RECOVERED_FRACTION && millisInState >= MIN_PAUSE_MILLIS;
            if (recovered || millisInState >= MAX_PAUSE_MILLIS) {
                state.setPaused(false, now);
                worker.runs.values().forEach(run -> run.overTargetSinceMillis = RunRecord.UNKNOWN);
            }
        } else if (maxOverTargetMillis
                >= context.settings.maximumOverTargetMillis() * PAUSE_FRACTION) {
            state.setPaused(true, now);
            context.log.log("filler.pause", "worker", worker.id, "overMillis", maxOverTargetMillis);
        }
    }

    /**
     * Sends the CPU limits of fillers that differ from the limits that the worker has confirmed,
     * and those that an earlier request without an answer may still override.
     *
     * @param worker the worker
     */
    private void sendLimits(WorkerRecord worker) {
        for (RunRecord run : worker.runs.values()) {
            if (!run.isFiller() || run.phase != RunPhase.RUNNING) {
                continue;
            }
            run.wantedCpuLimitPercent =
                    worker.throttleState.paused ? PAUSED_CPU_LIMIT_PERCENT : RunRecord.FULL_PERCENT;
            long now = context.now();
            boolean mayBeOverridden =
                    now < run.cpuLimitUncertainUntilMillis
                            && now - run.cpuLimitSentAtMillis >= RESEND_INTERVAL_MILLIS;
            if (run.cpuLimitPercent != run.wantedCpuLimitPercent || mayBeOverridden) {
                requestSender.sendCpuLimit(run);
            }
        }
    }

    /**
     * Converts a predicted tail latency into a penalty.
     *
     * @param latencyRatio the tail latency, as a fraction of its target
     * @return 0 up to the harmless level, 1 at the target and above, and linear in between
     */
    private double penalty(double latencyRatio) {
        double harmless =
                context.settings.policies().isEnabled(Policy.TAIL_MARGIN)
                        ? HARMLESS_FRACTION_WITH_MARGIN
                        : HARMLESS_FRACTION;
        return Math.max(0, Math.min(1, (latencyRatio - harmless) / (1 - harmless)));
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
    double predictImpact(WorkerRecord worker, StepSpec spec) {
        return worker.throttleState.predictedImpacts.computeIfAbsent(
                new FillerThrottleState.FillerKind(spec.image(), spec.need().cpuMillicores()),
                kind -> computeImpact(worker, spec));
    }

    /**
     * Computes a prediction that is not known from an earlier call.
     *
     * @param worker the worker on which the filler would start
     * @param spec the step of the filler
     * @return the expected number of serving tasks
     */
    private double computeImpact(WorkerRecord worker, StepSpec spec) {
        Map<String, Double> addedCpuShares = FillerCpuShares.addedBy(worker, spec);
        double cpuShare = FillerCpuShares.atFullLimit(spec, worker);
        double impact = 0;
        for (RunRecord run : worker.runs.values()) {
            if (run.isServing() && run.task != null) {
                String image = run.task.step.spec.image();
                double latencyRatio =
                        run.smoothedLatencyRatio == RunRecord.UNKNOWN
                                ? interference.baseline(image)
                                : run.smoothedLatencyRatio;
                double contribution = interference.coefficient(image, spec.image()) * cpuShare;
                double attribution = 1 - Math.exp(-contribution / ATTRIBUTION_SCALE);
                impact +=
                        attribution
                                * penalty(
                                        latencyRatio
                                                * Math.exp(
                                                        interference.predictLogGrowth(
                                                                image, addedCpuShares)));
            }
        }
        return impact;
    }
}
