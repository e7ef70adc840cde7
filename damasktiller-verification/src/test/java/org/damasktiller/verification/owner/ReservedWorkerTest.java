package org.damasktiller.verification.owner;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;

import org.damasktiller.scheduler.model.Resources;
import org.damasktiller.scheduler.model.StepSpec;
import org.damasktiller.scheduler.model.TaskId;
import org.junit.jupiter.api.Test;

/**
 * Replays long-running tasks that have never run, in a cell in which the only worker with room is
 * kept for urgent tasks and more than half of the CPU is reserved.
 */
final class ReservedWorkerTest {

    /** The number of workers, each of which holds four of the long-running tasks. */
    private static final int WORKERS = 4;

    /** The number of long-running tasks that fill the other workers. */
    private static final int FILLING_TASKS = 12;

    /** The identifier of the submission with the tasks that wait. */
    private static final String WAITING = "00000000000000f2";

    /**
     * The longest time that a long-running task may wait with capacity for it, in milliseconds;
     * given by the platform's documentation.
     */
    private static final long MAX_WAIT_MILLIS = 9_000;

    /** The time between two urgent submissions, in milliseconds. */
    private static final long URGENT_INTERVAL_MILLIS = 100;

    /** The cell. */
    private final CellSimulation simulation = new CellSimulation(WORKERS);

    /** The number of urgent submissions sent. */
    private int urgentCount;

    /** The task waited for as long as the others ran, beside an empty worker. */
    @Test
    void longRunningTaskStartsOnAReservedWorkerThatNoUrgentTaskNeeds() {
        fillOtherWorkers();
        simulation.submit(WAITING, longRunning(1));
        simulation.runtime.advance(MAX_WAIT_MILLIS);
        assertThat(startedCount(1), equalTo(1));
        assertThat(simulation.invariants.violations(), empty());
    }

    /** Tasks that have waited must not take what recent urgent tasks needed. */
    @Test
    void longRunningTasksLeaveTheReservedCpuThatUrgentTasksNeed() {
        simulation.taskDurationMillis = 2 * URGENT_INTERVAL_MILLIS;
        fillOtherWorkers();
        simulation.submit(WAITING, longRunning(4));
        for (long elapsed = 0; elapsed < MAX_WAIT_MILLIS; elapsed += URGENT_INTERVAL_MILLIS) {
            simulation.submit(
                    String.format("%016x", 0x6000 + urgentCount), CellSimulation.shortStep(1));
            urgentCount++;
            simulation.runtime.advance(URGENT_INTERVAL_MILLIS);
        }
        assertThat(startedCount(4), equalTo(1));
        assertThat(simulation.invariants.violations(), empty());
    }

    /** Starts long-running tasks on all workers but one. */
    private void fillOtherWorkers() {
        simulation.startOwner();
        simulation.runtime.advance(500);
        simulation.submit("00000000000000f1", longRunning(FILLING_TASKS));
        simulation.runtime.advance(1_000);
    }

    /**
     * Counts the tasks of the submission that waits which have started.
     *
     * @param count the number of its tasks
     * @return how many of them have started
     */
    private int startedCount(int count) {
        int started = 0;
        for (int index = 0; index < count; index++) {
            boolean hasRun = simulation.invariants.startCount(new TaskId(WAITING, 0, 0, index)) > 0;
            started += hasRun ? 1 : 0;
        }
        return started;
    }

    /**
     * Creates a step of long-running tasks that need a quarter of a worker.
     *
     * @param count the number of tasks
     * @return the step
     */
    private static StepSpec longRunning(int count) {
        return StepSpec.builder(count, new Resources(2_000, 1_000, 0)).lasting(true).build();
    }
}
