package org.damasktiller.scheduler.interference;

import java.util.Map;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/**
 * The stored estimates of how fillers harm serving tasks in a cell, for the next owner. Stored as
 * JSON under the names of the components.
 *
 * @param effects the effects by the image of the serving task and then by the image of the filler
 * @param baselines the tail latencies without fillers, as fractions of the target, by the image of
 *     the serving task
 */
public record InterferenceRecord(
        Map<String, Map<String, PairRecord>> effects, Map<String, Double> baselines) {

    /** Copies the maps, and leaves out what a stored record omits or has as null. */
    public InterferenceRecord {
        effects = withoutNulls(effects);
        effects.replaceAll((serving, pairs) -> withoutNulls(pairs));
        baselines = withoutNulls(baselines);
    }

    /**
     * Copies a map of a stored record.
     *
     * @param map the map, null if the record omits it
     * @param <T> the type of the values
     * @return the entries whose value is not null, by key
     */
    private static <T> Map<String, T> withoutNulls(@Nullable Map<String, T> map) {
        Map<String, T> copy = new TreeMap<>();
        if (map != null) {
            map.forEach(
                    (key, value) -> {
                        if (value != null) {
                            copy.put(key, value);
                        }
                    });
        }
        return copy;
    }

    /**
     * The estimated effect of a pair of images.
     *
     * @param coefficient the logarithm of the growth of the tail latency if the filler used the
     *     whole CPU of the worker
     * @param variance the variance of the estimate
     */
    public record PairRecord(double coefficient, double variance) {}
}
