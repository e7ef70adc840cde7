package org.damasktiller.decision.interference;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.damasktiller.identity.WorkerId;
import org.jspecify.annotations.Nullable;

/**
 * Estimates the slowdown of each kind by each other kind at each level of load. The slowdown of a
 * victim is modelled as one plus the sum over the other kinds of their load times a factor; each
 * report corrects the factors in proportion to their uncertainty and to the load at the time of the
 * measurement. Uncertainty grows with time, so that old knowledge fades. Not safe for use by
 * several threads.
 */
public final class InterferenceEstimator {

    /** The variance of a measured slowdown. */
    private static final double MEASUREMENT_VARIANCE = 0.01;

    /** The least load that counts. */
    private static final double SMALLEST_LOAD = 1e-4;

    /** How long loads are remembered for lagging reports, in milliseconds. */
    private static final long HORIZON_MILLIS = 180_000;

    /** The largest slowdown that a report may claim, so that one outlier moves little. */
    private static final double LARGEST_SLOWDOWN = 4;

    /** The number of levels. */
    private static final int LEVELS = LoadLevel.values().length;

    /** The estimates by victim. */
    private final List<PairRow> pairs = new ArrayList<>();

    /** The load history of each worker. */
    private final Map<WorkerId, LoadHistory> histories = new HashMap<>();

    /** Creates an estimator without observations. */
    public InterferenceEstimator() {}

    /**
     * Records a change of the load on a worker.
     *
     * @param worker the worker
     * @param kind the number of the kind
     * @param delta the part of the worker's processors added, negative if removed
     * @param nowMillis the time, in milliseconds
     */
    public void loadChanged(WorkerId worker, int kind, double delta, long nowMillis) {
        histories
                .computeIfAbsent(worker, key -> new LoadHistory(HORIZON_MILLIS))
                .change(kind, delta, nowMillis);
    }

    /**
     * Forgets a worker that is gone.
     *
     * @param worker the worker
     */
    public void workerGone(WorkerId worker) {
        histories.remove(worker);
    }

    /**
     * Learns from a report. A report from before the remembered history is left out.
     *
     * @param report the report
     * @param nowMillis the time, in milliseconds
     */
    public void observe(SlowdownReport report, long nowMillis) {
        LoadHistory history = histories.get(report.worker());
        if (history == null || nowMillis - report.fromMillis() > HORIZON_MILLIS) {
            return;
        }
        double[] loads = history.mean(report.fromMillis(), report.toMillis());
        int level = level(loads);
        double predicted = 1;
        double spread = MEASUREMENT_VARIANCE;
        for (int kind = 0; kind < loads.length; kind++) {
            if (kind != report.victim() && loads[kind] > SMALLEST_LOAD) {
                PairEstimate pair = pair(report.victim(), kind, level, nowMillis);
                predicted += pair.mean() * loads[kind];
                spread += pair.age(nowMillis) * loads[kind] * loads[kind];
            }
        }
        double measured = Math.min(LARGEST_SLOWDOWN, report.slowdown());
        correct(report.victim(), loads, level, measured - predicted, spread, nowMillis);
    }

    /**
     * Predicts the slowdown of a kind from what ran on a worker during a period.
     *
     * @param worker the worker
     * @param victim the number of the kind
     * @param fromMillis the begin of the period, in milliseconds
     * @param toMillis its end, in milliseconds
     * @return the slowdown, at least 1
     */
    public double predicted(WorkerId worker, int victim, long fromMillis, long toMillis) {
        LoadHistory history = histories.get(worker);
        if (history == null) {
            return 1;
        }
        double[] loads = history.mean(fromMillis, toMillis);
        int level = level(loads);
        double sum = 1;
        for (int kind = 0; kind < loads.length; kind++) {
            if (kind != victim && loads[kind] > SMALLEST_LOAD) {
                PairEstimate pair = known(victim, kind, level);
                sum += loads[kind] * (pair == null ? prior(victim, kind, level) : pair.mean());
            }
        }
        return sum;
    }

    /**
     * Returns the estimated slowdown that a whole worker's load of one kind causes another.
     *
     * @param victim the number of the kind that is slowed down
     * @param aggressor the number of the other kind
     * @param level the level of load of the worker
     * @return the estimate, a prior if the pair was never seen
     */
    public double factor(int victim, int aggressor, LoadLevel level) {
        PairEstimate pair = known(victim, aggressor, level.index());
        return pair == null ? prior(victim, aggressor, level.index()) : pair.mean();
    }

    /**
     * Returns the uncertainty of an estimate.
     *
     * @param victim the number of the kind that is slowed down
     * @param aggressor the number of the other kind
     * @param level the level of load of the worker
     * @return the standard deviation
     */
    public double deviation(int victim, int aggressor, LoadLevel level) {
        PairEstimate pair = known(victim, aggressor, level.index());
        return pair == null ? Math.sqrt(PairEstimate.PRIOR_VARIANCE) : pair.deviation();
    }

    /**
     * Spreads the error of a prediction over the kinds that ran.
     *
     * @param victim the number of the kind that was measured
     * @param loads the load of each kind
     * @param level the level of load
     * @param error the measured minus the predicted slowdown
     * @param spread the variance of the error
     * @param nowMillis the time, in milliseconds
     */
    private void correct(
            int victim, double[] loads, int level, double error, double spread, long nowMillis) {
        for (int kind = 0; kind < loads.length; kind++) {
            if (kind != victim && loads[kind] > SMALLEST_LOAD) {
                PairEstimate pair = pair(victim, kind, level, nowMillis);
                double gain = pair.age(nowMillis) * loads[kind] / spread;
                pair.correct(gain, loads[kind], error);
            }
        }
    }

    /**
     * Returns the level of the sum of loads.
     *
     * @param loads the load of each kind
     * @return the index of the level
     */
    private static int level(double[] loads) {
        double sum = 0;
        for (double load : loads) {
            sum += load;
        }
        return LoadLevel.of(sum).index();
    }

    /**
     * Returns the estimate of a pair and creates one for a new pair.
     *
     * @param victim the number of the victim
     * @param aggressor the number of the other kind
     * @param level the index of the level
     * @param nowMillis the time, in milliseconds
     * @return the estimate
     */
    private PairEstimate pair(int victim, int aggressor, int level, long nowMillis) {
        PairEstimate known = known(victim, aggressor, level);
        if (known != null) {
            return known;
        }
        PairEstimate created = new PairEstimate(prior(victim, aggressor, level), nowMillis);
        while (pairs.size() <= victim) {
            pairs.add(new PairRow());
        }
        pairs.get(victim).put(aggressor, level, created);
        return created;
    }

    /**
     * Returns what to assume of a pair at a level at which it was not seen: what is known of the
     * next lower level, or else of the next higher one, or else a constant.
     *
     * @param victim the number of the victim
     * @param aggressor the number of the other kind
     * @param level the index of the level
     * @return the factor assumed
     */
    private double prior(int victim, int aggressor, int level) {
        for (int lower = level - 1; lower >= 0; lower--) {
            PairEstimate known = known(victim, aggressor, lower);
            if (known != null) {
                return known.mean();
            }
        }
        for (int higher = level + 1; higher < LEVELS; higher++) {
            PairEstimate known = known(victim, aggressor, higher);
            if (known != null) {
                return known.mean();
            }
        }
        return PairEstimate.PRIOR_MEAN;
    }

    /**
     * Returns what is known of a pair at a level.
     *
     * @param victim the number of the victim
     * @param aggressor the number of the other kind
     * @param level the index of the level
     * @return the estimate, or null if the pair was not seen at the level
     */
    private @Nullable PairEstimate known(int victim, int aggressor, int level) {
        return victim < pairs.size() ? pairs.get(victim).get(aggressor, level) : null;
    }
}
