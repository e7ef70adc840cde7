package org.damasktiller.verification.owner;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;

import java.util.Arrays;
import org.damasktiller.scheduler.model.Resources;
import org.damasktiller.scheduler.model.StepSpec;
import org.damasktiller.scheduler.model.SubmissionState;
import org.damasktiller.scheduler.model.TaskId;
import org.junit.jupiter.api.Test;

/** Tests that work that needs next to nothing does not keep other submissions from starting. */
final class PassedOverSubmissionTest {

    /** The number of submissions of very many tasks that need a thousandth of a processor. */
    private static final int CHEAP_COUNT = 40;

    /** The number of steps of each. */
    private static final int STEPS = 50;

    /** The number of tasks of a step. */
    private static final int TASKS = 40;

    /**
     * The time in which a submission has to start while the cell has room, in milliseconds, from
     * the platform's documentation.
     */
    private static final long MAX_IDLE_MILLIS = 3_000;

    /** The identifier of an ordinary submission. */
    private static final String ORDINARY = "00000000000000b1";

    // A hundred submissions took every start for as long as they had tasks, with the workers idle.
    @Test
    void ordinarySubmissionStartsBesideManyCheapTasks() {
        CellSimulation simulation = new CellSimulation(2);
        simulation.startOwner();
        simulation.runtime.advance(2_000);
        StepSpec cheap =
                StepSpec.builder(TASKS, new Resources(1, 0, 0)).estimateMillis(20_000).build();
        for (int number = 0; number < CHEAP_COUNT; number++) {
            StepSpec[] steps = new StepSpec[STEPS];
            Arrays.fill(steps, cheap);
            simulation.submit(String.format("00000000000000%02x", number), steps);
        }
        simulation.runtime.advance(1_000);
        simulation.submit(ORDINARY, expensiveStep());
        simulation.runtime.advance(MAX_IDLE_MILLIS);

        TaskId cheapTask = new TaskId("0000000000000000", 0, STEPS - 1, 0);
        assertThat(simulation.invariants.startCount(cheapTask), greaterThan(0));
        assertThat(simulation.invariants.startCount(new TaskId(ORDINARY, 0, 0, 0)), equalTo(1));
        simulation.runtime.advance(2_000);
        assertThat(simulation.submissionState(ORDINARY), equalTo(SubmissionState.SUCCEEDED));
        assertThat(simulation.invariants.violations(), empty());
    }

    /**
     * Creates a step with more remaining work than each of the others.
     *
     * @return the step
     */
    private static StepSpec expensiveStep() {
        return StepSpec.builder(1, new Resources(4_000, 100, 0)).estimateMillis(20_000).build();
    }
}
