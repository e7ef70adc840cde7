package org.damasktiller.verification.owner;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;

import java.util.List;
import org.damasktiller.scheduler.model.Resources;
import org.damasktiller.scheduler.model.StepSpec;
import org.damasktiller.scheduler.model.SubmissionState;
import org.damasktiller.scheduler.policy.Policy;
import org.damasktiller.scheduler.policy.PolicySet;
import org.damasktiller.verification.owner.CellSimulation.OwnerProcess;
import org.junit.jupiter.api.Test;

/**
 * Replays a load in which a filler arrives while only a worker with a serving task has room: w1 has
 * one whose tail is at a fifth of its target and would rise to half of it, w0 is full until an
 * urgent task ends there.
 */
final class TailMarginTest {

    /** The target of the serving task, in milliseconds. */
    private static final long TARGET = 50;

    /** The identifier of the submission of the filler. */
    private static final String FILLER = "00000000000000d3";

    /** The owner of the cell. */
    private OwnerProcess owner;

    /** Without a margin the filler starts at once beside the serving task. */
    @Test
    void fillerStartsBesideTheServingTaskWithoutAMargin() {
        CellSimulation simulation = createLoad(false);
        simulation.submit(FILLER, filler());
        simulation.runtime.advance(150);
        assertThat(startsOfFiller(simulation, "w1"), equalTo(1));
    }

    /** With a margin the filler waits for the worker where it disturbs nobody. */
    @Test
    void fillerWaitsForAWorkerWhereItDisturbsNobodyWithAMargin() {
        CellSimulation simulation = createLoad(true);
        simulation.submit(FILLER, filler());
        simulation.runtime.advance(1_500);
        assertThat(startsOfFiller(simulation, "w1"), equalTo(0));
        assertThat(startsOfFiller(simulation, "w0"), equalTo(1));
    }

    /** No such worker appears, and owners are killed in series while the filler waits. */
    @Test
    void fillerThatWaitsUnderSeveralOwnersRunsInTheEnd() {
        CellSimulation simulation = createLoad(true);
        simulation.submit(
                "00000000000000d4",
                StepSpec.builder(1, new Resources(8_000, 8_000, 0))
                        .estimateMillis(400)
                        .lasting(true)
                        .build());
        simulation.submit(FILLER, filler());
        for (int takeover = 0; takeover < 4; takeover++) {
            simulation.runtime.advance(800);
            owner.kill();
            owner = simulation.startOwner();
        }
        simulation.runtime.advance(20_000);
        assertThat(simulation.submissionState(FILLER), equalTo(SubmissionState.SUCCEEDED));
        assertThat(simulation.invariants.violations(), empty());
    }

    /**
     * Creates a cell whose workers are occupied as described above.
     *
     * @param tailMargin whether fillers keep a margin for the noise of tails
     * @return the cell
     */
    private CellSimulation createLoad(boolean tailMargin) {
        CellSimulation simulation = new CellSimulation(2);
        if (!tailMargin) {
            simulation.policies = PolicySet.without(List.of(Policy.TAIL_MARGIN));
        }
        simulation.tailMillis = TARGET / 5;
        simulation.taskDurationMillis = 3_000;
        owner = simulation.startOwner();
        simulation.runtime.advance(500);
        simulation.submit(
                "00000000000000d1",
                StepSpec.builder(1, new Resources(3_000, 2_000, 0))
                        .lasting(true)
                        .targetMillis(TARGET)
                        .image("serving")
                        .build());
        simulation.runtime.advance(1_000);
        simulation.submit(
                "00000000000000d2",
                StepSpec.builder(1, new Resources(8_000, 8_000, 0)).estimateMillis(3_000).build());
        simulation.runtime.advance(2_700);
        assertThat(simulation.startCount("w0"), equalTo(1));
        assertThat(simulation.startCount("w1"), equalTo(1));
        return simulation;
    }

    /**
     * Creates the step of a filler.
     *
     * @return the step
     */
    private static StepSpec filler() {
        return StepSpec.builder(1, new Resources(2_000, 1_000, 0))
                .estimateMillis(4_000)
                .filling(true)
                .image("filler")
                .build();
    }

    /**
     * Counts the starts of the filler on a worker.
     *
     * @param simulation the cell
     * @param worker the identifier of the worker
     * @return the number of starts
     */
    private static int startsOfFiller(CellSimulation simulation, String worker) {
        return (int)
                simulation.logLines.stream()
                        .filter(line -> line.contains(" run.start "))
                        .filter(line -> line.contains(FILLER))
                        .filter(line -> line.contains(" " + worker + ","))
                        .count();
    }
}
