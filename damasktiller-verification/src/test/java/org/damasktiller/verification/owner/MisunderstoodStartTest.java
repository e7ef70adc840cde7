package org.damasktiller.verification.owner;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;

import org.damasktiller.scheduler.model.TaskId;
import org.junit.jupiter.api.Test;

/** Replays a worker that understands no start request, and ranks first among workers with room. */
final class MisunderstoodStartTest {

    /** The number of workers. */
    private static final int WORKERS = 4;

    /**
     * The longest time that a submission may wait while half of the cell is free, in milliseconds;
     * given by the platform's documentation.
     */
    private static final long MAX_WAIT_MILLIS = 3_000;

    /** The task was sent to the same worker each second, without an end. */
    @Test
    void taskStartsOnAnotherWorkerThanTheOneThatDoesNotUnderstandIt() {
        CellSimulation simulation = new CellSimulation(WORKERS);
        simulation.misunderstandingWorkers.add("w0");
        simulation.startOwner();
        simulation.runtime.advance(500);
        String id = "00000000000000f1";
        simulation.submit(id, CellSimulation.shortStep(1));
        simulation.runtime.advance(MAX_WAIT_MILLIS);
        assertThat(simulation.invariants.startCount(new TaskId(id, 0, 0, 0)), equalTo(1));
        assertThat(simulation.invariants.violations(), empty());
    }
}
