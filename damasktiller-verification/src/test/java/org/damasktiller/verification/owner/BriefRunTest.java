package org.damasktiller.verification.owner;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;

import org.damasktiller.scheduler.model.TaskId;
import org.damasktiller.verification.owner.CellSimulation.OwnerProcess;
import org.junit.jupiter.api.Test;

/** Tests what a successor knows of a run that no inventory had listed when its owner ended. */
final class BriefRunTest {

    /** The identifier of the submission with the long-running task. */
    private static final String LONG_RUNNING = "00000000000000d7";

    /**
     * How long a long-running task that has run may be without a run while there is capacity for
     * it, in milliseconds; given by the platform's documentation.
     */
    private static final long MAX_WAIT_MILLIS = 9_000;

    /**
     * How long the first owner lives after the submission, in milliseconds: until it has stored
     * what the answer to the start says, and before an inventory lists the run.
     */
    private static final long TERM_MILLIS = 60;

    /** How long the cell has no owner, in milliseconds. */
    private static final long VACANCY_MILLIS = 300;

    /** The number of short tasks that arrive at a time, more than the cell can hold. */
    private static final int TASKS = 24;

    /** The time between two arrivals of short tasks, in milliseconds. */
    private static final long ARRIVAL_MILLIS = 250;

    /** The task waited like one that had never run, behind all short tasks. */
    @Test
    void taskThatHasRunBrieflyPrecedesShortTasksAfterATakeover() {
        CellSimulation simulation = new CellSimulation(4);
        simulation.taskDurationMillis = 500;
        OwnerProcess owner = simulation.startOwner();
        simulation.runtime.advance(1_000);
        simulation.submit(LONG_RUNNING, CellSimulation.longRunningStep(1));
        simulation.runtime.advance(TERM_MILLIS);
        owner.kill();
        String id = simulation.workersUsed().iterator().next();
        assertThat(simulation.workers.get(id).activeRunCount(), equalTo(1));
        simulation.workers.get(id).crash();
        simulation.unreachable.add(id);
        simulation.unregister(id);
        simulation.runtime.advance(VACANCY_MILLIS);
        simulation.startOwner();
        int number = 0;
        for (long millis = VACANCY_MILLIS; millis < MAX_WAIT_MILLIS; millis += ARRIVAL_MILLIS) {
            simulation.submit(
                    String.format("%016x", 0x7000 + number), CellSimulation.shortStep(TASKS));
            number++;
            simulation.runtime.advance(ARRIVAL_MILLIS);
        }
        assertThat(simulation.invariants.violations(), empty());
        assertThat(
                simulation.invariants.activeRunCount(new TaskId(LONG_RUNNING, 0, 0, 0)),
                equalTo(1));
    }
}
