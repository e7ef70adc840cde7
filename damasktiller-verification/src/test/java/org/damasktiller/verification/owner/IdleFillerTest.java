package org.damasktiller.verification.owner;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;

import org.damasktiller.scheduler.model.Resources;
import org.damasktiller.scheduler.model.StepSpec;
import org.damasktiller.scheduler.model.TaskId;
import org.junit.jupiter.api.Test;

/**
 * Replays fillers that arrive in a cell that is nearly idle, while each worker has serving tasks
 * that a filler is predicted to disturb.
 */
final class IdleFillerTest {

    /** The number of workers. */
    private static final int WORKERS = 4;

    /** The target of the serving tasks, in milliseconds. */
    private static final long TARGET = 50;

    /** The number of fillers, which together need less than half of the processors. */
    private static final int FILLERS = 6;

    /** The number of fillers that fit beside each other, but need more CPU than is idle. */
    private static final int FILLERS_BEYOND_IDLE_CPU = 16;

    /**
     * The longest time that a submission may wait while half of the cell is free, in milliseconds;
     * given by the platform's documentation.
     */
    private static final long MAX_WAIT_MILLIS = 3_000;

    /** Fillers waited for 44 s for each serving task on a worker once they were late. */
    @Test
    void fillersStartInTimeBesideServingTasksInACellThatIsNearlyIdle() {
        for (int servingPerWorker = 1; servingPerWorker <= 4; servingPerWorker++) {
            CellSimulation simulation = createCell(servingPerWorker, 500);
            for (int number = 0; number < FILLERS; number++) {
                simulation.submit(id(number), filler());
            }
            simulation.runtime.advance(MAX_WAIT_MILLIS);
            for (int number = 0; number < FILLERS; number++) {
                assertThat(
                        servingPerWorker + " serving tasks per worker, filler " + number,
                        simulation.invariants.startCount(new TaskId(id(number), 0, 0, 0)),
                        equalTo(1));
            }
            assertThat(simulation.invariants.violations(), empty());
        }
    }

    /** Serving tasks must not be disturbed for a filler where half of the processors is in use. */
    @Test
    void fillerWaitsBesideServingTasksThatUseHalfOfEachWorker() {
        CellSimulation simulation = createCell(3, 1_500);
        simulation.submit(id(0), filler());
        simulation.runtime.advance(MAX_WAIT_MILLIS);
        assertThat(simulation.invariants.startCount(new TaskId(id(0), 0, 0, 0)), equalTo(0));
    }

    /** Fillers waited for 17 s in a cell of which only fillers used more than half. */
    @Test
    void fillersStartInTimeBesideOtherFillersInACellWithRoom() {
        CellSimulation simulation = createCell(2, 1_500);
        simulation.taskDurationMillis = 60_000;
        for (int number = 0; number < FILLERS_BEYOND_IDLE_CPU; number++) {
            simulation.submit(id(number), filler());
            simulation.runtime.advance(MAX_WAIT_MILLIS);
            assertThat(
                    "filler " + number,
                    simulation.invariants.startCount(new TaskId(id(number), 0, 0, 0)),
                    greaterThanOrEqualTo(1));
        }
        assertThat(simulation.invariants.violations(), empty());
    }

    /** Once it had waited, a submission could disturb serving tasks without a pause. */
    @Test
    void fillersOfOneSubmissionWaitAgainAfterEachEnd() {
        CellSimulation simulation = createCell(3, 500);
        simulation.tailMillis = 2 * TARGET;
        simulation.runtime.advance(2_000);
        simulation.submit(id(0), filler(FILLERS));
        simulation.runtime.advance(2 * MAX_WAIT_MILLIS);
        int starts = 0;
        for (int index = 0; index < FILLERS; index++) {
            starts += simulation.invariants.startCount(new TaskId(id(0), 0, 0, index));
        }
        assertThat(starts, equalTo(2));
        assertThat(simulation.invariants.violations(), empty());
    }

    /**
     * Creates a cell in which each worker has some serving tasks.
     *
     * @param servingPerWorker their number on each worker
     * @param millicores what each of them needs, in millicores
     * @return the cell
     */
    private static CellSimulation createCell(int servingPerWorker, long millicores) {
        CellSimulation simulation = new CellSimulation(WORKERS);
        simulation.tailMillis = TARGET / 2;
        simulation.startOwner();
        simulation.runtime.advance(500);
        simulation.submit(
                "00000000000000e1",
                StepSpec.builder(WORKERS * servingPerWorker, new Resources(millicores, 500, 0))
                        .lasting(true)
                        .targetMillis(TARGET)
                        .image("serving")
                        .maximumPerWorker(servingPerWorker)
                        .build());
        simulation.runtime.advance(10_000);
        return simulation;
    }

    /**
     * Creates the step of a filler.
     *
     * @return the step
     */
    private static StepSpec filler() {
        return filler(1);
    }

    /**
     * Creates a step of fillers.
     *
     * @param count the number of tasks
     * @return the step
     */
    private static StepSpec filler(int count) {
        return StepSpec.builder(count, new Resources(2_000, 1_000, 0))
                .estimateMillis(400)
                .filling(true)
                .image("filler")
                .build();
    }

    /**
     * Returns the identifier of the submission of a filler.
     *
     * @param number the number of the filler
     * @return the identifier
     */
    private static String id(int number) {
        return String.format("%016x", 0x8000 + number);
    }
}
