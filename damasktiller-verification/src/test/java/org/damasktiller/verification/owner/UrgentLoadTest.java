package org.damasktiller.verification.owner;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;

import java.util.List;
import org.damasktiller.scheduler.model.Resources;
import org.damasktiller.scheduler.model.StepSpec;
import org.damasktiller.scheduler.model.SubmissionState;
import org.junit.jupiter.api.Test;

/** Replays loads in which urgent tasks meet workers that long-running tasks have filled. */
final class UrgentLoadTest {

    /** The number of workers. */
    private static final int WORKERS = 20;

    /** The CPU of each worker, in millicores. */
    private static final long WORKER_CPU = 8_000;

    /**
     * Long-running tasks that need as much CPU as all workers have are handed in first. An urgent
     * task that needs a whole worker comes later, and must not wait for one of them to end.
     */
    @Test
    void urgentTaskOfAWholeWorkerStartsBesideLongRunningTasks() {
        CellSimulation simulation = new CellSimulation(WORKERS);
        simulation.startOwner();
        simulation.runtime.advance(500);
        simulation.submit("00000000000000b1", step(4 * WORKERS, WORKER_CPU / 4, true));
        simulation.runtime.advance(3_000);
        simulation.submit("00000000000000b2", step(1, WORKER_CPU, false));
        simulation.runtime.advance(1_500);
        assertThat(
                simulation.submissionState("00000000000000b2"), equalTo(SubmissionState.SUCCEEDED));
        assertThat(simulation.invariants.violations(), empty());
    }

    /**
     * A long-running step wants one task on each worker while most room is free. The workers kept
     * for urgent tasks must not hold it back for good.
     */
    @Test
    void longRunningStepAsWideAsTheCellStartsWhole() {
        CellSimulation simulation = new CellSimulation(WORKERS);
        simulation.startOwner();
        simulation.runtime.advance(500);
        simulation.submit(
                "00000000000000b1",
                StepSpec.builder(WORKERS, new Resources(WORKER_CPU / 4, 100, 0))
                        .estimateMillis(400)
                        .lasting(true)
                        .maximumPerWorker(1)
                        .build());
        simulation.runtime.advance(4_000);
        assertThat(simulation.workersUsed().size(), equalTo(WORKERS));
        assertThat(simulation.invariants.violations(), empty());
    }

    /**
     * Creates a step.
     *
     * @param count the number of tasks
     * @param cpuMillicores the CPU of each, in millicores
     * @param longRunning whether the tasks are long-running
     * @return the step
     */
    private static StepSpec step(int count, long cpuMillicores, boolean longRunning) {
        return StepSpec.builder(count, new Resources(cpuMillicores, 100, 0))
                .estimateMillis(400)
                .after(List.of())
                .lasting(longRunning)
                .build();
    }
}
