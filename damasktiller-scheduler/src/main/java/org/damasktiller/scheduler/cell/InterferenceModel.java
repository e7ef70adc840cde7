package org.damasktiller.scheduler.cell;

import java.util.HashMap;
import java.util.Map;

/**
 * Learns how much fillers of one image increase the tail latency of serving tasks of another.
 *
 * <p>Load pattern: the effect is specific to the pair of images. Some serving images tolerate every
 * filler, others only a few.
 *
 * <p>The logarithm of the ratio of the tail latency to its level without fillers is modelled as a
 * sum over the images of the fillers: the share of the worker's CPU that they use, times a
 * coefficient of the pair. Each observation corrects the coefficients in proportion to these shares
 * (normalized least mean squares). All workers of a cell share one model.
 */
final class InterferenceModel {

    /**
     * The variance of the logarithm of an observed tail latency. Reports are noisy, and load
     * fluctuates.
     */
    private static final double FIGURE_VARIANCE = 0.5;

    /** The initial variance of the coefficient of a pair. */
    private static final double FIRST_VARIANCE = 60;

    /**
     * The increase in the variance of a coefficient per observation, since effects change over
     * time.
     */
    private static final double DRIFT = 0.01;

    /**
     * The initial coefficient of a pair. It predicts a small effect, so that new pairs are tried.
     */
    private static final double FIRST_FACTOR = 4;

    /** The maximum coefficient. */
    private static final double LARGEST_FACTOR = 80;

    /** The maximum logarithm of the growth of a tail latency; higher observations are clipped. */
    private static final double LARGEST_GROWTH = 3.5;

    /**
     * The minimum tail latency, as a fraction of the target. It keeps the logarithm defined when a
     * report is zero.
     */
    private static final double SMALLEST_TAIL = 0.01;

    /** The weight of a new observation of the tail latency without fillers. */
    private static final double BASE_WEIGHT = 0.05;

    /**
     * The assumed tail latency without fillers before the first observation, as a fraction of the
     * target.
     */
    private static final double FIRST_BASE = 0.4;

    /**
     * The maximum tail latency without fillers, as a fraction of the target; higher observations
     * are clipped.
     */
    private static final double LARGEST_BASE = 0.8;

    /** The effects by the image of the serving task and then by the image of the filler. */
    private final Map<String, Map<String, Effect>> effects = new HashMap<>();

    /**
     * The tail latencies without fillers, as fractions of the target, by the image of the serving
     * task.
     */
    private final Map<String, Double> bases = new HashMap<>();

    /** Creates a model without observations. */
    InterferenceModel() {}

    /**
     * Learns from a reported tail latency.
     *
     * @param image the image of the serving task
     * @param tail its tail latency, as a fraction of its target
     * @param shares the CPU shares that the fillers used when the latency was measured, by image,
     *     as fractions of the worker's CPU; empty if there were no fillers
     */
    void observe(String image, double tail, Map<String, Double> shares) {
        if (shares.isEmpty()) {
            double bounded = Math.min(LARGEST_BASE, tail);
            bases.merge(image, bounded, (old, now) -> old + BASE_WEIGHT * (now - old));
            return;
        }
        double seen = Math.log(Math.max(tail, SMALLEST_TAIL) / base(image));
        double growth = Math.max(0, Math.min(LARGEST_GROWTH, seen));
        correct(image, growth - growth(image, shares), shares);
    }

    /**
     * Corrects the coefficients of a serving image.
     *
     * @param image the image of the serving task
     * @param error the observed minus the predicted logarithm of the growth
     * @param shares the CPU shares of the fillers, by image
     */
    private void correct(String image, double error, Map<String, Double> shares) {
        Map<String, Effect> row = effects.computeIfAbsent(image, key -> new HashMap<>());
        double spread = FIGURE_VARIANCE;
        for (Map.Entry<String, Double> filler : shares.entrySet()) {
            Effect effect = row.computeIfAbsent(filler.getKey(), key -> new Effect());
            spread += effect.variance * filler.getValue() * filler.getValue();
        }
        for (Map.Entry<String, Double> filler : shares.entrySet()) {
            Effect effect = row.get(filler.getKey());
            if (effect != null) {
                effect.correct(error, filler.getValue(), spread);
            }
        }
    }

    /**
     * Returns the coefficient of a pair of images.
     *
     * @param image the image of the serving task
     * @param filler the image of the filler
     * @return the logarithm of the growth of the tail latency if the filler used the worker's whole
     *     CPU
     */
    double factor(String image, String filler) {
        Effect effect = effects.getOrDefault(image, Map.of()).get(filler);
        return effect == null ? FIRST_FACTOR : effect.factor;
    }

    /**
     * Predicts the growth of a tail latency.
     *
     * @param image the image of the serving task
     * @param shares the CPU shares of the fillers, by image, as fractions of the worker's CPU
     * @return the logarithm of the ratio of the tail latency to its level without fillers
     */
    double growth(String image, Map<String, Double> shares) {
        double sum = 0;
        for (Map.Entry<String, Double> filler : shares.entrySet()) {
            sum += factor(image, filler.getKey()) * filler.getValue();
        }
        return sum;
    }

    /**
     * Returns the tail latency without fillers.
     *
     * @param image the image of the serving task
     * @return the tail latency, as a fraction of the target
     */
    double base(String image) {
        return bases.getOrDefault(image, FIRST_BASE);
    }

    /** The effect of fillers of one image on serving tasks of another. */
    private static final class Effect {

        /** The estimated coefficient. */
        private double factor = FIRST_FACTOR;

        /** The variance of the estimate. */
        private double variance = FIRST_VARIANCE;

        /** Creates an effect without observations. */
        Effect() {}

        /**
         * Corrects the coefficient by the error of a prediction.
         *
         * @param error the observed minus the predicted logarithm of the growth
         * @param share the CPU share of the fillers, as a fraction of the worker's CPU
         * @param spread the sum of the variances of the prediction and of the observation
         */
        void correct(double error, double share, double spread) {
            double gain = variance * share / spread;
            factor = Math.max(0, Math.min(LARGEST_FACTOR, factor + gain * error));
            variance = Math.max(0, variance * (1 - gain * share)) + DRIFT;
        }
    }
}
