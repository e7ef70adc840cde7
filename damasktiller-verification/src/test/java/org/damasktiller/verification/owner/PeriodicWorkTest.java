package org.damasktiller.verification.owner;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasItem;

import org.damasktiller.standin.fleet.SimulatedWorker;
import org.junit.jupiter.api.Test;

/** Tests the periodic work of an owner after an error that nothing expects. */
final class PeriodicWorkTest {

    /** The number of workers. */
    private static final int WORKERS = 6;

    /** The number of long-running tasks. */
    private static final int TASKS = 6;

    /** The time after which work of a lost worker runs elsewhere, in milliseconds. */
    private static final long LOSS_MILLIS = 15_000;

    /** An unchecked exception ended the periodic work of the owner for the rest of its term. */
    @Test
    void workOfLostWorkersRunsElsewhereAfterAnUnexpectedError() {
        CellSimulation simulation = new CellSimulation(WORKERS);
        simulation.startOwner();
        simulation.submit("00000000000000f1", CellSimulation.longRunningStep(TASKS));
        simulation.runtime.advance(3_000);
        simulation.failingEvents.add("worker.gone");
        for (int number = 0; number < 3; number++) {
            lose(simulation, "w" + number);
        }
        assertThat(simulation.failingEvents, empty());
        assertThat(simulation.logLines, hasItem(containsString(" work.failed ")));
        assertThat(
                simulation.workers.values().stream()
                        .filter(SimulatedWorker::isAlive)
                        .mapToInt(SimulatedWorker::activeRunCount)
                        .sum(),
                equalTo(TASKS));
        assertThat(simulation.invariants.violations(), empty());
    }

    /**
     * Loses a worker for good, and waits.
     *
     * @param simulation the cell
     * @param worker the identifier of the worker
     */
    private static void lose(CellSimulation simulation, String worker) {
        simulation.workers.get(worker).crash();
        simulation.unreachable.add(worker);
        simulation.unregister(worker);
        simulation.runtime.advance(LOSS_MILLIS);
    }
}
