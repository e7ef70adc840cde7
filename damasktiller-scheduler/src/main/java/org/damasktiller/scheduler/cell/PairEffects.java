package org.damasktiller.scheduler.cell;

import java.util.HashMap;
import java.util.Map;

/**
 * Learns how much fillers of one image lengthen the tail of serving tasks of another. Load pattern:
 * the effect belongs to the pair of images; some serving images bear every filler, others few. The
 * logarithm of the tail over its level without fillers is modelled as the sum over the fillers'
 * images of their share of the worker's processors times a factor, corrected by each figure in
 * proportion to the shares (normalised least mean squares). All workers of a cell share the
 * factors.
 */
final class PairEffects {

    /** The variance of the logarithm of a figure: figures are rough, and loads swing. */
    private static final double FIGURE_VARIANCE = 0.5;

    /** The variance of the factor of a pair that has not been seen. */
    private static final double FIRST_VARIANCE = 60;

    /** What a figure adds to the variance of the pairs that it shows, since effects change. */
    private static final double DRIFT = 0.01;

    /** The factor of a pair that has not been seen: a small effect, so that pairs are tried. */
    private static final double FIRST_FACTOR = 4;

    /** The largest factor. */
    private static final double LARGEST_FACTOR = 80;

    /** The largest logarithm of a tail's growth that is believed. */
    private static final double LARGEST_GROWTH = 3.5;

    /** The smallest tail, as a part of the target; a figure of zero has no logarithm. */
    private static final double SMALLEST_TAIL = 0.01;

    /** The weight of a new figure of the tail without fillers. */
    private static final double BASE_WEIGHT = 0.05;

    /** The tail without fillers before it is known, as a part of the target. */
    private static final double FIRST_BASE = 0.4;

    /** The level without fillers that is believed at most, as a part of the target. */
    private static final double LARGEST_BASE = 0.8;

    /** The effects by serving image and filler image. */
    private final Map<String, Map<String, Effect>> effects = new HashMap<>();

    /** The tails without fillers by serving image, as parts of the target. */
    private final Map<String, Double> bases = new HashMap<>();

    /** Creates a record without observations. */
    PairEffects() {}

    /**
     * Learns from a figure.
     *
     * @param image the image of the serving task
     * @param tail its tail, as a part of its target
     * @param shares what fillers of each image worked meanwhile, as parts of the worker's
     *     processors
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
     * Corrects the factors of a serving image.
     *
     * @param image the image
     * @param error the logarithm of the growth seen over that predicted
     * @param shares what fillers of each image worked
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
     * Returns the factor of a pair.
     *
     * @param image the image of the serving task
     * @param filler the image of the filler
     * @return the factor, for the whole of a worker's processors
     */
    double factor(String image, String filler) {
        Effect effect = effects.getOrDefault(image, Map.of()).get(filler);
        return effect == null ? FIRST_FACTOR : effect.factor;
    }

    /**
     * Predicts the logarithm of a tail's growth.
     *
     * @param image the image of the serving task
     * @param shares what fillers of each image work
     * @return the logarithm
     */
    double growth(String image, Map<String, Double> shares) {
        double sum = 0;
        for (Map.Entry<String, Double> filler : shares.entrySet()) {
            sum += factor(image, filler.getKey()) * filler.getValue();
        }
        return sum;
    }

    /**
     * Returns the tail without fillers.
     *
     * @param image the image of the serving task
     * @return the tail, as a part of its target
     */
    double base(String image) {
        return bases.getOrDefault(image, FIRST_BASE);
    }

    /** What fillers of one image do to serving tasks of another. */
    private static final class Effect {

        /** The factor. */
        private double factor = FIRST_FACTOR;

        /** The variance of the factor. */
        private double variance = FIRST_VARIANCE;

        /** Creates an effect that has not been seen. */
        Effect() {}

        /**
         * Corrects the factor.
         *
         * @param error the logarithm of the growth seen over that predicted
         * @param share what the fillers worked
         * @param spread the variance of the prediction and the figure
         */
        void correct(double error, double share, double spread) {
            double gain = variance * share / spread;
            factor = Math.max(0, Math.min(LARGEST_FACTOR, factor + gain * error));
            variance = Math.max(0, variance * (1 - gain * share)) + DRIFT;
        }
    }
}
