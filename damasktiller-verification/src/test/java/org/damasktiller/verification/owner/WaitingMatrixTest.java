package org.damasktiller.verification.owner;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import org.damasktiller.verification.owner.WaitingCase.Disruption;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/**
 * Disturbs small cells from fixed seeds and then leaves them alone. {@link WaitingOracle} judges
 * what waits. The property {@code waiting.seeds} sets the number of seeds.
 */
final class WaitingMatrixTest {

    /** The number of cases of each kind; their seeds count from 0. */
    private static final int SEED_COUNT = Integer.getInteger("waiting.seeds", 60);

    /** Tasks waited although most of the room of the cell was free. */
    @Test
    void nothingWaitsWithRoomAfterDisruptionsWithoutCrashes() {
        assertThat(runCases(kindsWithoutCrashes()), empty());
    }

    /** Tasks that may have crashed their workers waited for good although there was room. */
    @Test
    void nothingWaitsWithRoomAfterDisruptionsWithCrashes() {
        Set<Disruption> kinds = kindsWithoutCrashes();
        kinds.addAll(WaitingCase.CRASHES);
        assertThat(runCases(kinds), empty());
    }

    /** Tasks whose start met the loss of a worker waited for 13 s. */
    @Test
    @Tag("known-red")
    void nothingWaitsWithRoomAfterLossesOfWorkers() {
        Set<Disruption> kinds = kindsWithoutCrashes();
        kinds.add(Disruption.LOSS);
        assertThat(runCases(kinds), empty());
    }

    /**
     * Returns the disruptions in which no worker crashes.
     *
     * @return the kinds of disruption
     */
    private static Set<Disruption> kindsWithoutCrashes() {
        Set<Disruption> kinds = EnumSet.allOf(Disruption.class);
        kinds.removeAll(WaitingCase.CRASHES);
        kinds.remove(Disruption.LOSS);
        return kinds;
    }

    /**
     * Runs the cases.
     *
     * @param kinds the kinds of disruption
     * @return a line for each violation
     */
    private static List<String> runCases(Set<Disruption> kinds) {
        List<String> violations = new ArrayList<>();
        int judgedCount = 0;
        for (int seed = 0; seed < SEED_COUNT; seed++) {
            WaitingCase sample = new WaitingCase(seed, kinds);
            sample.run();
            judgedCount += sample.oracle().judgedCount();
            for (String line : sample.oracle().violations()) {
                violations.add(seed + " " + sample.disruptions() + ": " + line);
            }
            for (String line : sample.simulation().invariants.violations()) {
                violations.add(seed + " " + sample.disruptions() + ": " + line);
            }
        }
        assertThat("samples of waiting tasks", judgedCount, greaterThan(0));
        return violations;
    }
}
