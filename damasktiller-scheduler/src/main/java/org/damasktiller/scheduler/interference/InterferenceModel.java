package org.damasktiller.scheduler.interference;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

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
public final class InterferenceModel {

    /**
     * The variance of the logarithm of an observed tail latency. Reports are noisy, and load
     * fluctuates.
     */
    private static final double OBSERVATION_VARIANCE = 0.5;

    /** The initial variance of the coefficient of a pair. */
    private static final double INITIAL_VARIANCE = 60;

    /**
     * The increase in the variance of a coefficient per observation, since effects change over
     * time.
     */
    private static final double VARIANCE_DRIFT = 0.01;

    /**
     * The initial coefficient of a pair. It predicts a small effect, so that new pairs are tried.
     */
    private static final double INITIAL_COEFFICIENT = 4;

    /** The maximum coefficient. */
    private static final double MAX_COEFFICIENT = 80;

    /** The maximum logarithm of the growth of a tail latency; higher observations are clipped. */
    private static final double MAX_LOG_GROWTH = 3.5;

    /**
     * The minimum tail latency, as a fraction of the target. It keeps the logarithm defined when a
     * report is zero.
     */
    private static final double MIN_LATENCY_RATIO = 0.01;

    /** The weight of a new observation of the tail latency without fillers. */
    private static final double BASELINE_WEIGHT = 0.05;

    /**
     * The assumed tail latency without fillers before the first observation, as a fraction of the
     * target.
     */
    private static final double INITIAL_BASELINE = 0.4;

    /**
     * The maximum tail latency without fillers, as a fraction of the target; higher observations
     * are clipped.
     */
    private static final double MAX_BASELINE = 0.8;

    /** The most pairs in a record, which keeps it below 64 KB. */
    private static final int MAX_RECORDED_PAIRS = 1_000;

    /** The precision of recorded values: their smallest difference is one divided by this. */
    private static final double RECORD_PRECISION = 1_000;

    /** The effects by the image of the serving task and then by the image of the filler. */
    private final Map<String, Map<String, Effect>> effects = new HashMap<>();

    /**
     * The tail latencies without fillers, as fractions of the target, by the image of the serving
     * task.
     */
    private final Map<String, Double> baselines = new HashMap<>();

    /** Creates a model without observations. */
    public InterferenceModel() {}

    /**
     * Learns from a reported tail latency.
     *
     * @param servingImage the image of the serving task
     * @param latencyRatio its tail latency, as a fraction of its target
     * @param cpuShares the CPU shares that the fillers used when the latency was measured, by
     *     image, as fractions of the worker's CPU; empty if there were no fillers
     */
    public void observe(String servingImage, double latencyRatio, Map<String, Double> cpuShares) {
        if (cpuShares.isEmpty()) {
            double bounded = Math.min(MAX_BASELINE, latencyRatio);
            baselines.merge(
                    servingImage, bounded, (old, now) -> old + BASELINE_WEIGHT * (now - old));
            return;
        }
        double observed =
                Math.log(Math.max(latencyRatio, MIN_LATENCY_RATIO) / baseline(servingImage));
        double logGrowth = Math.max(0, Math.min(MAX_LOG_GROWTH, observed));
        correct(servingImage, logGrowth - predictLogGrowth(servingImage, cpuShares), cpuShares);
    }

    /**
     * Corrects the coefficients of a serving image.
     *
     * @param servingImage the image of the serving task
     * @param error the observed minus the predicted logarithm of the growth
     * @param cpuShares the CPU shares of the fillers, by image
     */
    private void correct(String servingImage, double error, Map<String, Double> cpuShares) {
        Map<String, Effect> effectsByFillerImage =
                effects.computeIfAbsent(servingImage, key -> new HashMap<>());
        double totalVariance = OBSERVATION_VARIANCE;
        for (Map.Entry<String, Double> filler : cpuShares.entrySet()) {
            Effect effect =
                    effectsByFillerImage.computeIfAbsent(filler.getKey(), key -> new Effect());
            totalVariance += effect.variance * filler.getValue() * filler.getValue();
        }
        for (Map.Entry<String, Double> filler : cpuShares.entrySet()) {
            Effect effect = effectsByFillerImage.get(filler.getKey());
            if (effect != null) {
                effect.correct(error, filler.getValue(), totalVariance);
            }
        }
    }

    /**
     * Returns the coefficient of a pair of images.
     *
     * @param servingImage the image of the serving task
     * @param fillerImage the image of the filler
     * @return the logarithm of the growth of the tail latency if the filler used the worker's whole
     *     CPU
     */
    public double coefficient(String servingImage, String fillerImage) {
        Effect effect = effects.getOrDefault(servingImage, Map.of()).get(fillerImage);
        return effect == null ? INITIAL_COEFFICIENT : effect.coefficient;
    }

    /**
     * Predicts the growth of a tail latency.
     *
     * @param servingImage the image of the serving task
     * @param cpuShares the CPU shares of the fillers, by image, as fractions of the worker's CPU
     * @return the logarithm of the ratio of the tail latency to its level without fillers
     */
    public double predictLogGrowth(String servingImage, Map<String, Double> cpuShares) {
        double sum = 0;
        for (Map.Entry<String, Double> filler : cpuShares.entrySet()) {
            sum += coefficient(servingImage, filler.getKey()) * filler.getValue();
        }
        return sum;
    }

    /**
     * Returns the tail latency without fillers.
     *
     * @param servingImage the image of the serving task
     * @return the tail latency, as a fraction of the target
     */
    public double baseline(String servingImage) {
        return baselines.getOrDefault(servingImage, INITIAL_BASELINE);
    }

    /**
     * Returns the estimates that are certain enough to be of use to another owner.
     *
     * @return the estimates, at most {@link #MAX_RECORDED_PAIRS} pairs
     */
    public InterferenceRecord toRecord() {
        Map<String, Map<String, InterferenceRecord.PairRecord>> pairs = new TreeMap<>();
        int count = 0;
        for (Map.Entry<String, Map<String, Effect>> serving : effects.entrySet()) {
            for (Map.Entry<String, Effect> filler : serving.getValue().entrySet()) {
                Effect effect = filler.getValue();
                if (effect.variance < INITIAL_VARIANCE && count < MAX_RECORDED_PAIRS) {
                    count++;
                    pairs.computeIfAbsent(serving.getKey(), key -> new TreeMap<>())
                            .put(
                                    filler.getKey(),
                                    new InterferenceRecord.PairRecord(
                                            round(effect.coefficient), round(effect.variance)));
                }
            }
        }
        Map<String, Double> recordedBaselines = new TreeMap<>();
        baselines.forEach((image, ratio) -> recordedBaselines.put(image, round(ratio)));
        return new InterferenceRecord(pairs, recordedBaselines);
    }

    /**
     * Adopts the estimates of another owner for pairs and images that were not observed yet. Values
     * out of range are limited as observations are.
     *
     * @param record the estimates
     */
    public void restore(InterferenceRecord record) {
        record.effects()
                .forEach(
                        (serving, pairs) ->
                                pairs.forEach(
                                        (filler, pair) ->
                                                effects.computeIfAbsent(
                                                                serving, key -> new HashMap<>())
                                                        .computeIfAbsent(
                                                                filler, key -> Effect.of(pair))));
        record.baselines()
                .forEach(
                        (image, ratio) ->
                                baselines.putIfAbsent(
                                        image, Math.max(0, Math.min(MAX_BASELINE, ratio))));
    }

    /**
     * Rounds a value for the stored record.
     *
     * @param value the value
     * @return the value with three decimal places
     */
    private static double round(double value) {
        return Math.round(value * RECORD_PRECISION) / RECORD_PRECISION;
    }

    /** The effect of fillers of one image on serving tasks of another. */
    private static final class Effect {

        /** The estimated coefficient. */
        private double coefficient = INITIAL_COEFFICIENT;

        /** The variance of the estimate. */
        private double variance = INITIAL_VARIANCE;

        /** Creates an effect without observations. */
        Effect() {}

        /**
         * Creates an effect from a stored estimate.
         *
         * @param pair the estimate
         * @return the effect, with values within the limits of observed ones
         */
        static Effect of(InterferenceRecord.PairRecord pair) {
            Effect effect = new Effect();
            effect.coefficient = Math.max(0, Math.min(MAX_COEFFICIENT, pair.coefficient()));
            effect.variance = Math.max(VARIANCE_DRIFT, Math.min(INITIAL_VARIANCE, pair.variance()));
            return effect;
        }

        /**
         * Corrects the coefficient by the error of a prediction.
         *
         * @param error the observed minus the predicted logarithm of the growth
         * @param cpuShare the CPU share of the fillers, as a fraction of the worker's CPU
         * @param totalVariance the sum of the variances of the prediction and of the observation
         */
        void correct(double error, double cpuShare, double totalVariance) {
            double gain = variance * cpuShare / totalVariance;
            coefficient = Math.max(0, Math.min(MAX_COEFFICIENT, coefficient + gain * error));
            variance = Math.max(0, variance * (1 - gain * cpuShare)) + VARIANCE_DRIFT;
        }
    }
}
