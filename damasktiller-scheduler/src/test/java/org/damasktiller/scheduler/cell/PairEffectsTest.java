package org.damasktiller.scheduler.cell;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThan;

import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Tests what is learnt of pairs of images from rough figures of swinging loads. */
final class PairEffectsTest {

    /** The true factor of the pair that harms. */
    private static final double HARMFUL = 12;

    /**
     * Replays figures of two fillers beside one serving image, of which one lengthens its tail and
     * one does not; figures are off by half and the load swings.
     */
    @Test
    void tellsTheHarmfulFillerFromTheHarmlessOneThatStandsBesideIt() {
        PairEffects effects = new PairEffects();
        SplittableRandom random = new SplittableRandom(7);
        for (int figure = 0; figure < 300; figure++) {
            double swing = 1 + 0.4 * Math.sin(figure / 4.5);
            double noise = Math.exp(random.nextDouble(-0.5, 0.5));
            if (figure % 4 == 0) {
                effects.observe("serving", 0.4 * swing * noise, Map.of());
                continue;
            }
            double harmful = random.nextDouble(0, 0.2);
            double harmless = random.nextDouble(0, 0.3);
            double tail = 0.4 * swing * noise * Math.exp(HARMFUL * harmful);
            effects.observe("serving", tail, Map.of("harmful", harmful, "harmless", harmless));
        }
        assertThat(effects.factor("serving", "harmful"), greaterThan(8.0));
        assertThat(effects.factor("serving", "harmless"), lessThan(2.5));
    }

    @Test
    void aPairThatWasNeverSeenIsTried() {
        PairEffects effects = new PairEffects();
        assertThat(effects.factor("serving", "new"), greaterThan(0.0));
        assertThat(effects.growth("serving", Map.of("new", 0.1)), lessThan(1.0));
    }
}
