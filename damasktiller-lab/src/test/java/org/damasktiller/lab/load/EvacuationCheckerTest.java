package org.damasktiller.lab.load;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;

import org.damasktiller.scheduler.model.TaskId;
import org.damasktiller.standin.fleet.RunInvariantChecker;
import org.damasktiller.standin.time.VirtualTimeRuntime;
import org.junit.jupiter.api.Test;

/** Tests which starts count as violations of an evacuation. */
final class EvacuationCheckerTest {

    /** The clock. */
    private final VirtualTimeRuntime runtime = new VirtualTimeRuntime();

    /** The checker under test; worker w1 is in zone a, all others in zone b. */
    private final EvacuationChecker checker =
            new EvacuationChecker(
                    runtime,
                    new RunInvariantChecker(3),
                    worker -> worker.equals("w1") ? "a" : "b",
                    5_000);

    @Test
    void onlyStartsInTheZoneAfterTheAllowedTimeAreViolations() {
        checker.onEvacuated("a");
        runtime.advance(5_000);
        checker.started("w1", new TaskId("1", 0, 0, 0), 1);
        runtime.advance(1);
        checker.started("w2", new TaskId("1", 0, 0, 1), 1);
        assertThat(checker.violations(), empty());
        checker.started("w1", new TaskId("1", 0, 0, 2), 1);
        assertThat(
                checker.violations(),
                contains("start of 1.0.0.2 on w1, whose zone a was evacuated 5001 ms before"));
    }

    @Test
    void startsAfterTheZoneWasTakenBackAreAllowed() {
        checker.onEvacuated("a");
        runtime.advance(9_000);
        checker.onTakenBack("a");
        checker.started("w1", new TaskId("1", 0, 0, 0), 1);
        assertThat(checker.violations(), empty());
    }
}
