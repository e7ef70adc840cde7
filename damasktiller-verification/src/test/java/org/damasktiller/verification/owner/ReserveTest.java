package org.damasktiller.verification.owner;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;

import org.damasktiller.scheduler.model.Resources;
import org.damasktiller.scheduler.model.StepSpec;
import org.damasktiller.scheduler.model.TaskId;
import org.damasktiller.standin.metadata.CallFault;
import org.damasktiller.standin.metadata.FaultPlan;
import org.junit.jupiter.api.Test;

/**
 * Replays a step of long-running tasks of which the first one has never run and may not use the
 * only worker with room, which is kept for urgent tasks, while another one has run before.
 */
final class ReserveTest {

    /** The identifier of the submission with both tasks. */
    private static final String SUBMISSION = "00000000000000f2";

    /**
     * The longest time that a long-running task may be interrupted in calm times, in milliseconds;
     * given by the platform's documentation.
     */
    private static final long MAX_INTERRUPTION_MILLIS = 9_000;

    /** The cell. */
    private final CellSimulation simulation = new CellSimulation(4);

    /** Whether workers refuse the next start. */
    private boolean refuseNext;

    /** The task that was interrupted waited behind the one that has never run. */
    @Test
    void interruptedTaskStartsAlthoughAnEarlierTaskOfItsStepMayNot() {
        simulation.startOwner(FaultPlan.NO_FAULTS, this::faultOf);
        simulation.runtime.advance(500);
        simulation.submit("00000000000000f0", longRunning(9, 3));
        simulation.runtime.advance(1_000);
        simulation.submit("00000000000000f1", longRunning(1, 1));
        simulation.runtime.advance(1_000);
        refuseNext = true;
        simulation.submit(SUBMISSION, longRunning(2, 1));
        simulation.runtime.advance(200);
        simulation.resize(workerOfStart(0), 6_000);
        simulation.runtime.advance(3_000);
        TaskId first = new TaskId(SUBMISSION, 0, 0, 0);
        TaskId second = new TaskId(SUBMISSION, 0, 0, 1);
        assertThat(simulation.invariants.startCount(first), equalTo(0));
        assertThat(simulation.invariants.startCount(second), equalTo(1));
        simulation.register(workerOfStart(1), true);
        simulation.runtime.advance(MAX_INTERRUPTION_MILLIS);
        assertThat(simulation.invariants.startCount(second), equalTo(2));
        assertThat(simulation.invariants.violations(), empty());
    }

    /**
     * Refuses a start if one has to be refused.
     *
     * @param call the name of a call to a worker
     * @return the fault of the call
     */
    private CallFault faultOf(String call) {
        if (refuseNext && call.startsWith("start")) {
            refuseNext = false;
            return CallFault.REFUSED;
        }
        return CallFault.ANSWERED;
    }

    /**
     * Creates a step of long-running tasks that need a quarter of a worker.
     *
     * @param count the number of tasks
     * @param maximumPerWorker how many of them a worker may run
     * @return the step
     */
    private static StepSpec longRunning(int count, int maximumPerWorker) {
        return StepSpec.builder(count, new Resources(2_000, 1_000, 0))
                .lasting(true)
                .maximumPerWorker(maximumPerWorker)
                .build();
    }

    /**
     * Returns the worker to which the first start of a task was sent.
     *
     * @param index the index of the task
     * @return the identifier of the worker
     */
    private String workerOfStart(int index) {
        return simulation.logLines.stream()
                .filter(line -> line.contains(" run.start "))
                .filter(line -> line.contains(SUBMISSION + ".0.0." + index))
                .map(line -> line.replaceAll(".*worker, (w[0-9]+).*", "$1"))
                .findFirst()
                .orElseThrow();
    }
}
