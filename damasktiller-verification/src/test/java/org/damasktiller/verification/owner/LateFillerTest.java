package org.damasktiller.verification.owner;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;

import java.util.List;
import java.util.stream.Stream;
import org.damasktiller.scheduler.model.Resources;
import org.damasktiller.scheduler.model.StepSpec;
import org.damasktiller.scheduler.model.SubmissionState;
import org.damasktiller.scheduler.policy.Policy;
import org.damasktiller.scheduler.policy.PolicySet;
import org.damasktiller.verification.owner.CellSimulation.OwnerProcess;
import org.junit.jupiter.api.Test;

/**
 * Replays a load in which a filler is late because its cell had no owner for some seconds, and
 * another one arrives that can be on time. Either would disturb the only serving task somewhat.
 */
final class LateFillerTest {

    /** The target of the serving task, in milliseconds. */
    private static final long TARGET = 50;

    /** The tail of the serving task without fillers, in milliseconds. */
    private static final long TAIL = 11;

    /** The identifier of the submission of the filler that is late. */
    private static final String LATE = "00000000000000e2";

    /** The identifier of the submission of the filler that can be on time. */
    private static final String ON_TIME = "00000000000000e3";

    /** The late filler waits although it has waited longer, and the one on time starts. */
    @Test
    void fillerThatCanBeOnTimeStartsBeforeTheLateOne() {
        CellSimulation simulation = createLoad(PolicySet.ALL);
        simulation.runtime.advance(6_000);
        assertThat(firstStarted(simulation), equalTo(ON_TIME));
    }

    @Test
    void lateFillerStartsFirstWithoutRestraint() {
        CellSimulation simulation =
                createLoad(PolicySet.without(List.of(Policy.LATE_FILLER_RESTRAINT)));
        simulation.runtime.advance(6_000);
        assertThat(firstStarted(simulation), equalTo(LATE));
    }

    @Test
    void lateFillerRunsInTheEnd() {
        CellSimulation simulation = createLoad(PolicySet.ALL);
        simulation.runtime.advance(40_000);
        assertThat(simulation.submissionState(LATE), equalTo(SubmissionState.SUCCEEDED));
        assertThat(simulation.invariants.violations(), empty());
    }

    /**
     * Creates a cell whose owner has just been replaced.
     *
     * @param policies the policies in force
     * @return the cell, with both fillers waiting
     */
    private static CellSimulation createLoad(PolicySet policies) {
        CellSimulation simulation = new CellSimulation(1);
        simulation.policies = policies;
        simulation.tailMillis = TAIL;
        OwnerProcess former = simulation.startOwner();
        simulation.runtime.advance(500);
        simulation.submit(
                "00000000000000e1",
                StepSpec.builder(1, new Resources(3_000, 2_000, 0))
                        .lasting(true)
                        .targetMillis(TARGET)
                        .image("serving")
                        .build());
        simulation.runtime.advance(2_000);
        former.kill();
        simulation.submit(LATE, filler(400));
        simulation.runtime.advance(3_000);
        simulation.startOwner();
        simulation.runtime.advance(1_000);
        simulation.submit(ON_TIME, filler(6_000));
        return simulation;
    }

    /**
     * Creates the step of a filler.
     *
     * @param estimateMillis the declared run time, in milliseconds
     * @return the step
     */
    private static StepSpec filler(long estimateMillis) {
        return StepSpec.builder(1, new Resources(2_000, 1_000, 0))
                .estimateMillis(estimateMillis)
                .filling(true)
                .image("filler")
                .build();
    }

    /**
     * Returns which filler has started first.
     *
     * @param simulation the cell, in which one has started
     * @return the identifier of its submission
     */
    private static String firstStarted(CellSimulation simulation) {
        return simulation.logLines.stream()
                .filter(line -> line.contains(" run.start "))
                .flatMap(line -> Stream.of(LATE, ON_TIME).filter(line::contains))
                .findFirst()
                .orElseThrow();
    }
}
