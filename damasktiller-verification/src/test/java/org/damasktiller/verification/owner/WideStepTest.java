package org.damasktiller.verification.owner;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;

import org.damasktiller.scheduler.model.Resources;
import org.damasktiller.scheduler.model.StepSpec;
import org.damasktiller.scheduler.model.TaskId;
import org.damasktiller.standin.metadata.FaultPlan;
import org.junit.jupiter.api.Test;

/** Tests steps that need more workers than the cell that accepts them has. */
final class WideStepTest {

    /** The identifier of the submission. */
    private static final String SUBMISSION = "00000000000000d1";

    /** The name of the cell with free workers. */
    private static final String OTHER_CELL = CellSimulation.CELL + "@north";

    /** The number of workers of the cell that accepts the submission. */
    private static final int WORKER_COUNT = 4;

    /** The number of workers of the other cell. */
    private static final int OTHER_WORKER_COUNT = 5;

    /** The number of tasks, each of which needs a worker of its own. */
    private static final int TASK_COUNT = 7;

    /**
     * The time within which all tasks must run, in milliseconds: 6 s are allowed by the platform,
     * and it takes up to 3 s until capacity counts as available.
     */
    private static final long ALL_RUN_MILLIS = 9_000;

    // A long-running step that needs more workers than its cell has must use those of other cells.
    @Test
    void longRunningStepWiderThanItsCellRunsWhole() {
        CellSimulation simulation = new CellSimulation(WORKER_COUNT);
        for (int number = 0; number < OTHER_WORKER_COUNT; number++) {
            simulation.addWorker("x" + number, OTHER_CELL);
        }
        simulation.startOwner();
        simulation.startOwner(
                OTHER_CELL, FaultPlan.NO_FAULTS, FaultPlan.NO_FAULTS, simulation.unreachable);
        simulation.runtime.advance(2_000);
        StepSpec step =
                StepSpec.builder(TASK_COUNT, new Resources(2_000, 1_000, 0))
                        .estimateMillis(400)
                        .lasting(true)
                        .maximumPerWorker(1)
                        .build();
        simulation.submit(SUBMISSION, step);
        simulation.runtime.advance(ALL_RUN_MILLIS);

        assertThat(activeTaskCount(simulation), equalTo(TASK_COUNT));
        assertThat(simulation.invariants.violations(), empty());
    }

    /**
     * Counts the tasks that run once.
     *
     * @param simulation the simulation
     * @return the number of tasks
     */
    private static int activeTaskCount(CellSimulation simulation) {
        int count = 0;
        for (int index = 0; index < TASK_COUNT; index++) {
            TaskId task = new TaskId(SUBMISSION, 0, 0, index);
            count += simulation.invariants.activeRunCount(task) == 1 ? 1 : 0;
        }
        return count;
    }
}
