package org.damasktiller.verification.owner;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.lessThan;

import org.damasktiller.scheduler.model.SubmissionState;
import org.damasktiller.scheduler.model.TaskId;
import org.junit.jupiter.api.Test;

/** Tests how the owner of a cell handles slow workers and tasks, on a virtual clock. */
class StragglerTest {

    private static final String SUBMISSION = "00000000000000d1";

    /**
     * A task that makes almost no progress on its worker is stopped and completed by another
     * worker, long before the slow run would complete.
     */
    @Test
    void stalledTaskIsCompletedElsewhere() {
        CellSimulation simulation = new CellSimulation(3);
        simulation.slowdownFactors.put("w0", 100);
        simulation.startOwner();
        simulation.submit(SUBMISSION, CellSimulation.shortStep(6));
        simulation.runtime.advance(6_000);
        assertThat(simulation.submissionState(SUBMISSION), equalTo(SubmissionState.SUCCEEDED));
        assertThat(simulation.invariants.violations(), empty());
    }

    /** Tasks submitted while a worker is known to be slow start on other workers. */
    @Test
    void newTasksAvoidSlowWorkers() {
        CellSimulation simulation = new CellSimulation(3);
        simulation.slowdownFactors.put("w0", 100);
        simulation.startOwner();
        simulation.submit(SUBMISSION, CellSimulation.shortStep(6));
        simulation.runtime.advance(4_000);
        int before = simulation.startCount("w0");
        simulation.submit("00000000000000d2", CellSimulation.shortStep(4));
        simulation.runtime.advance(1_000);
        assertThat(simulation.startCount("w0"), equalTo(before));
    }

    /** A task that only takes longer than its declared estimate stays on its worker. */
    @Test
    void taskThatTakesLongerThanDeclaredIsNotMoved() {
        CellSimulation simulation = new CellSimulation(3);
        simulation.taskDurationMillis = 1_200;
        simulation.startOwner();
        simulation.submit(SUBMISSION, CellSimulation.shortStep(6));
        simulation.runtime.advance(4_000);
        assertThat(simulation.submissionState(SUBMISSION), equalTo(SubmissionState.SUCCEEDED));
        for (int index = 0; index < 6; index++) {
            assertThat(
                    simulation.invariants.startCount(new TaskId(SUBMISSION, 0, 0, index)),
                    lessThan(2));
        }
    }
}
