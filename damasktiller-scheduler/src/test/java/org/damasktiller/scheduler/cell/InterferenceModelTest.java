package org.damasktiller.scheduler.cell;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThan;

import java.util.Map;
import java.util.SplittableRandom;
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
}
