package org.damasktiller.verification.owner;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;

import java.util.concurrent.atomic.AtomicBoolean;
import org.damasktiller.scheduler.model.TaskId;
import org.damasktiller.standin.metadata.CallFault;
import org.damasktiller.standin.metadata.FaultPlan;
import org.damasktiller.verification.owner.CellSimulation.OwnerProcess;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/** Tests what becomes of tasks when their worker is lost for good with a start on its way. */
final class LostWorkerStartTest {

    /** The identifier of the submission. */
    private static final String SUBMISSION = "00000000000000d5";

    /**
     * How long a long-running task may be without a run while there is capacity for it, in
     * milliseconds; given by the platform's documentation.
     */
    private static final long MAX_WAIT_MILLIS = 9_000;

    /** How long the entry of a worker that is lost is still listed, in milliseconds. */
    private static final long ENTRY_EXPIRY_MILLIS = 4_000;

    /** How long after the loss the owner leaves, in milliseconds. */
    private static final long LEAVES_AFTER_MILLIS = 2_000;

    /** How long an owner that leaves has to hand over, in milliseconds. */
    private static final long HAND_OVER_MILLIS = 300;

    /** The task waited for 13 s, with all other workers empty. */
    @Test
    @Tag("known-red")
    void longRunningTaskRunsSoonAfterItsWorkerIsLostWithItsStart() {
        CellSimulation simulation = new CellSimulation(4);
        AtomicBoolean lost = new AtomicBoolean();
        simulation.startOwner(
                FaultPlan.NO_FAULTS,
                call ->
                        call.equals("start") && lost.compareAndSet(false, true)
                                ? CallFault.LOST
                                : CallFault.ANSWERED);
        simulation.runtime.advance(1_000);
        simulation.submit(SUBMISSION, CellSimulation.longRunningStep(1));
        while (!lost.get()) {
            simulation.runtime.advance(10);
        }
        String id = simulation.workersUsed().iterator().next();
        simulation.workers.get(id).crash();
        simulation.unreachable.add(id);
        simulation.runtime.schedule(ENTRY_EXPIRY_MILLIS, () -> simulation.unregister(id));
        simulation.runtime.advance(MAX_WAIT_MILLIS);
        assertThat(
                simulation.invariants.activeRunCount(new TaskId(SUBMISSION, 0, 0, 0)), equalTo(1));
    }

    /** One start without an answer held all tasks of its worker for 7.2 s after a hand-over. */
    @Test
    void otherTasksOfItsWorkerRunSoonThoughTheOwnerLeaves() {
        CellSimulation simulation = new CellSimulation(4);
        AtomicBoolean losing = new AtomicBoolean();
        OwnerProcess owner =
                simulation.startOwner(
                        FaultPlan.NO_FAULTS,
                        call ->
                                call.equals("start") && losing.get()
                                        ? CallFault.LOST
                                        : CallFault.ANSWERED);
        simulation.runtime.advance(1_000);
        simulation.submit(SUBMISSION, CellSimulation.longRunningStep(1));
        simulation.runtime.advance(1_000);
        String id = simulation.workersUsed().iterator().next();
        losing.set(true);
        simulation.submit("00000000000000d6", CellSimulation.shortStep(16));
        int before = simulation.startCount(id);
        while (simulation.startCount(id) == before) {
            simulation.runtime.advance(10);
        }
        simulation.workers.get(id).crash();
        simulation.unreachable.add(id);
        simulation.unregister(id);
        losing.set(false);
        simulation.runtime.advance(LEAVES_AFTER_MILLIS);
        owner.leave();
        simulation.runtime.advance(HAND_OVER_MILLIS);
        owner.kill();
        simulation.startOwner();
        simulation.runtime.advance(MAX_WAIT_MILLIS - LEAVES_AFTER_MILLIS - HAND_OVER_MILLIS);
        assertThat(simulation.invariants.violations(), empty());
        assertThat(
                simulation.invariants.activeRunCount(new TaskId(SUBMISSION, 0, 0, 0)), equalTo(1));
    }
}
