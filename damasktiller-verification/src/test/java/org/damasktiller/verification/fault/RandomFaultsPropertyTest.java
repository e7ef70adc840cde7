package org.damasktiller.verification.fault;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;

import java.util.List;
import net.jqwik.api.EdgeCasesMode;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.IntRange;
import org.damasktiller.standin.cell.HarnessTimes;

/** Runs the lives of the scenario under random sequences of faults, drawn from a fixed seed. */
class RandomFaultsPropertyTest {

    private static final int TRIES = 10_000;

    @Property(
            tries = TRIES,
            seed = "20261203",
            shrinking = ShrinkingMode.OFF,
            edgeCases = EdgeCasesMode.NONE)
    void testRandomFaultsBreakNoRule(
            @ForAll long seed,
            @ForAll @IntRange(min = 1, max = 6) int faults,
            @ForAll @IntRange(min = 3, max = 60) int oneIn,
            @ForAll @IntRange(min = 1, max = 26) int pauseSeconds) {
        HarnessTimes times =
                new HarnessTimes(100, 2, 1, 1_000, pauseSeconds * 1_000L, 2_500, 6_000, 2_000);
        List<String> broken = new CellScenario(new RandomFaults(seed, faults, oneIn), times).run();
        assertThat(broken, empty());
    }
}
