package org.damasktiller.decision.interference;

import java.util.BitSet;
import java.util.random.RandomGenerator;
import org.damasktiller.decision.placement.PlacementRequest;
import org.damasktiller.decision.placement.PlacementScore;
import org.damasktiller.decision.placement.WorkerState;

/**
 * Scores a worker by the slowdown that a job is predicted to cause the guarded kinds there, and by
 * the slowdown that the job itself would suffer. A worker on which a guarded kind is predicted to
 * become slower than allowed is refused. The estimates are drawn with their uncertainty, so that
 * pairs of kinds about which little is known are tried now and then.
 */
public final class HarmScore implements PlacementScore {

    /** The estimates. */
    private final InterferenceEstimator estimator;

    /** The source of randomness. */
    private final RandomGenerator random;

    /** The settings. */
    private final HarmSettings settings;

    /** The numbers of the guarded kinds. */
    private final BitSet guarded = new BitSet();

    /**
     * Creates a score.
     *
     * @param estimator the estimates
     * @param settings the settings
     * @param random the source of randomness
     */
    public HarmScore(
            InterferenceEstimator estimator, HarmSettings settings, RandomGenerator random) {
        this.estimator = estimator;
        this.settings = settings;
        this.random = random;
    }

    /**
     * Sets whether a kind is guarded.
     *
     * @param kind the number of the kind
     * @param value whether it is
     */
    public void guard(int kind, boolean value) {
        guarded.set(kind, value);
    }

    @Override
    public double cost(int kind, PlacementRequest request, WorkerState worker) {
        double whole = Math.max(1, worker.spec().capacity().milliProcessors());
        double added = request.size().milliProcessors() / whole;
        double load = added + totalLoad(worker);
        LoadLevel level = LoadLevel.of(load);
        boolean self = guarded.get(kind);
        double cost = self ? 0 : settings.loadCost() * load;
        double suffered = 0;
        for (int at = 0; at < worker.kindCount(); at++) {
            int other = worker.kindAt(at);
            suffered += estimator.factor(kind, other, level) * worker.loadAt(at);
            if (!self && guarded.get(other)) {
                double after = harm(other, worker, level) + drawn(other, kind, level) * added;
                if (after > settings.allowedSlowdown()) {
                    return Double.POSITIVE_INFINITY;
                }
                cost += after * after;
            }
        }
        double weight = self ? 1 : settings.sufferedCost();
        return cost + weight * suffered;
    }

    /**
     * Predicts the slowdown of a guarded kind by what runs on a worker now.
     *
     * @param victim the number of the guarded kind
     * @param worker the worker
     * @param level the level of load
     * @return the slowdown above one
     */
    public double harm(int victim, WorkerState worker, LoadLevel level) {
        double sum = 0;
        for (int at = 0; at < worker.kindCount(); at++) {
            int other = worker.kindAt(at);
            if (other != victim) {
                sum += estimator.factor(victim, other, level) * worker.loadAt(at);
            }
        }
        return sum;
    }

    /**
     * Returns the load of all kinds on a worker.
     *
     * @param worker the worker
     * @return the part of its processors reserved
     */
    private static double totalLoad(WorkerState worker) {
        double sum = 0;
        for (int at = 0; at < worker.kindCount(); at++) {
            sum += worker.loadAt(at);
        }
        return sum;
    }

    /**
     * Draws a factor with its uncertainty.
     *
     * @param victim the number of the victim
     * @param aggressor the number of the other kind
     * @param level the level of load
     * @return the factor, not negative
     */
    private double drawn(int victim, int aggressor, LoadLevel level) {
        double mean = estimator.factor(victim, aggressor, level);
        if (settings.exploration() == 0 || victim == aggressor) {
            return mean;
        }
        double deviation = estimator.deviation(victim, aggressor, level);
        double noise = settings.exploration() * deviation * (2 * random.nextDouble() - 1);
        return Math.max(0, mean + noise);
    }
}
