package org.damasktiller.scheduler.interference;

import static java.nio.charset.StandardCharsets.UTF_8;
import static java.util.Objects.requireNonNull;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThan;

import java.util.Map;
import java.util.SplittableRandom;
import org.damasktiller.scheduler.cell.StoredValueCodec;
import org.damasktiller.scheduler.interference.InterferenceRecord.PairRecord;
import org.junit.jupiter.api.Test;

/**
 * Tests that the model learns the effects of pairs of images from noisy latencies of a changing
 * load.
 */
final class InterferenceModelTest {

    /** The true coefficient of the harmful pair. */
    private static final double HARMFUL_COEFFICIENT = 12;

    /**
     * Observes two filler images next to one serving image. One of them increases its tail latency
     * and the other does not. Observations are off by up to a factor of 1.65, and the load
     * oscillates by 40%.
     */
    @Test
    void distinguishesHarmfulFillerFromHarmlessOneOnSameWorker() {
        InterferenceModel model = new InterferenceModel();
        SplittableRandom random = new SplittableRandom(7);
        for (int observation = 0; observation < 300; observation++) {
            double loadFactor = 1 + 0.4 * Math.sin(observation / 4.5);
            double noise = Math.exp(random.nextDouble(-0.5, 0.5));
            if (observation % 4 == 0) {
                model.observe("serving", 0.4 * loadFactor * noise, Map.of());
                continue;
            }
            double harmful = random.nextDouble(0, 0.2);
            double harmless = random.nextDouble(0, 0.3);
            double latencyRatio =
                    0.4 * loadFactor * noise * Math.exp(HARMFUL_COEFFICIENT * harmful);
            model.observe(
                    "serving", latencyRatio, Map.of("harmful", harmful, "harmless", harmless));
        }
        assertThat(model.coefficient("serving", "harmful"), greaterThan(8.0));
        assertThat(model.coefficient("serving", "harmless"), lessThan(2.5));
    }

    @Test
    void predictsSmallEffectForUnseenPair() {
        InterferenceModel model = new InterferenceModel();
        assertThat(model.coefficient("serving", "new"), greaterThan(0.0));
        assertThat(model.predictLogGrowth("serving", Map.of("new", 0.1)), lessThan(1.0));
    }

    /** The owner changes while pairs run side by side; its successor must not learn them again. */
    @Test
    void successorPredictsWhatItsPredecessorLearnt() {
        InterferenceModel predecessor = new InterferenceModel();
        for (int observation = 0; observation < 100; observation++) {
            predecessor.observe("serving", 0.3, Map.of());
            predecessor.observe("serving", 3, Map.of("harmful", 0.2));
        }
        byte[] stored = StoredValueCodec.encode(predecessor.toRecord());
        InterferenceModel successor = new InterferenceModel();
        successor.restore(
                requireNonNull(StoredValueCodec.decode(stored, InterferenceRecord.class)));
        assertThat(
                successor.coefficient("serving", "harmful"),
                closeTo(predecessor.coefficient("serving", "harmful"), 0.01));
        assertThat(successor.baseline("serving"), closeTo(predecessor.baseline("serving"), 0.01));
    }

    @Test
    void observationsPrecedeStoredEstimates() {
        InterferenceModel model = new InterferenceModel();
        model.observe("serving", 3, Map.of("filler", 0.2));
        double learnt = model.coefficient("serving", "filler");
        model.restore(
                new InterferenceRecord(
                        Map.of("serving", Map.of("filler", new PairRecord(1, 1))), Map.of()));
        assertThat(model.coefficient("serving", "filler"), equalTo(learnt));
    }

    @Test
    void storedEstimatesOutOfRangeAreLimited() {
        String stored =
                """
                {"effects":{"serving":{"a":{"coefficient":1e9,"variance":-1},"b":null},"other":null},
                 "baselines":{"serving":-5,"other":null}}
                """;
        InterferenceModel model = new InterferenceModel();
        model.restore(
                requireNonNull(
                        StoredValueCodec.decode(stored.getBytes(UTF_8), InterferenceRecord.class)));
        assertThat(model.coefficient("serving", "a"), lessThan(100.0));
        assertThat(model.coefficient("serving", "b"), equalTo(model.coefficient("other", "any")));
        assertThat(model.baseline("serving"), equalTo(0.0));
    }
}
