package org.damasktiller.verification.owner;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;

import java.util.Set;
import org.damasktiller.scheduler.model.TaskId;
import org.damasktiller.standin.fleet.FaultInjectingWorkerClient;
import org.damasktiller.standin.metadata.CallFault;
import org.damasktiller.standin.metadata.FaultPlan;
import org.damasktiller.verification.owner.CellSimulation.OwnerProcess;
import org.junit.jupiter.api.Test;

/**
 * Tests an owner that is cut off from the store and from one of two workers, while a successor
 * reaches only the other worker. A task that the successor keeps running there must not start on
 * the first one.
 */
final class PartitionedOwnerTest {

    /** The identifier of the submission, of one long-running task. */
    private static final String SUBMISSION = "00000000000000a1";

    /** The only task. */
    private static final TaskId TASK = new TaskId(SUBMISSION, 0, 0, 0);

    /** The cell. */
    private final CellSimulation simulation = new CellSimulation(2);

    /** The worker that runs the task. */
    private String holder = "";

    /** The worker that does not. */
    private String other = "";

    /** The lease that the owner has granted ends, but its successor has extended it. */
    @Test
    void ownerThatLosesAWorkerToItsSuccessorDoesNotStartItsTasksElsewhere() {
        Set<String> cutOffFromFirst = FaultInjectingWorkerClient.newIdSet();
        simulation.startOwner(storeLostFrom(11_000), FaultPlan.NO_FAULTS, cutOffFromFirst);
        simulation.runtime.advance(10_000);
        startTask();
        cutOffFromFirst.add(holder);
        simulation.runtime.advance(1_500);
        simulation.startOwner(FaultPlan.NO_FAULTS, FaultPlan.NO_FAULTS, Set.of(other));
        simulation.runtime.advance(15_000);
        assertThat(simulation.invariants.violations(), empty());
        assertThat(simulation.invariants.activeRunCount(TASK), equalTo(1));
    }

    /** The leases of the first owner have ended, but the third owner has extended them. */
    @Test
    void ownerThatWaitsForAWorkerOfItsSuccessorDoesNotStartItsTasksElsewhere() {
        OwnerProcess first = simulation.startOwner();
        startTask();
        first.kill();
        simulation.startOwner(storeLostFrom(3_000), FaultPlan.NO_FAULTS, Set.of(holder));
        simulation.runtime.advance(3_200);
        simulation.startOwner(FaultPlan.NO_FAULTS, FaultPlan.NO_FAULTS, Set.of(other));
        simulation.runtime.advance(15_000);
        assertThat(simulation.invariants.violations(), empty());
        assertThat(simulation.invariants.activeRunCount(TASK), equalTo(1));
    }

    /** Submits the task, and waits until a second after the beginning, when it runs. */
    private void startTask() {
        simulation.submit(SUBMISSION, CellSimulation.longRunningStep(1));
        simulation.runtime.advance(1_000);
        boolean firstRunsIt = simulation.workers.get("w0").activeRunCount() > 0;
        holder = firstRunsIt ? "w0" : "w1";
        other = firstRunsIt ? "w1" : "w0";
    }

    /**
     * Creates a plan that loses all calls to the store from some time on.
     *
     * @param millis the time since the beginning, in milliseconds
     * @return the plan
     */
    private FaultPlan storeLostFrom(long millis) {
        long lostFromMillis = simulation.runtime.nowMillis() + millis;
        return call ->
                simulation.runtime.nowMillis() >= lostFromMillis
                        ? CallFault.LOST
                        : CallFault.ANSWERED;
    }
}
