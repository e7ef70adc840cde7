package org.damasktiller.verification.owner;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;

import java.util.Set;
import org.damasktiller.scheduler.model.TaskId;
import org.damasktiller.standin.metadata.CallFault;
import org.damasktiller.standin.metadata.FaultPlan;
import org.junit.jupiter.api.Test;

/** Tests an owner whose reads the store serves while it refuses the writes, also of the roster. */
final class UnstoredRosterTest {

    /** When the store begins to refuse writes, in milliseconds. */
    private static final long REFUSED_FROM_MILLIS = 10_000;

    /** The identifier of the submission that fills the only worker or runs there. */
    private static final String SUBMISSION = "00000000000000a0";

    /** The identifier of a submission that comes while writes are refused. */
    private static final String NEXT = "00000000000000a1";

    /** The cell. */
    private final CellSimulation simulation = new CellSimulation(1);

    /**
     * A new worker is listed, unlisted and listed again before a roster that names it is stored.
     */
    @Test
    void workerThatIsListedAgainGetsNoStartsBeforeItsRosterIsStored() {
        listNewWorkerAgain();
        assertThat(simulation.startCount("w1"), equalTo(0));
    }

    /** The successor learns of that worker from the stored roster only, and can't reach it. */
    @Test
    void successorThatCannotReachAWorkerListedAgainRunsNothingTwice() {
        listNewWorkerAgain();
        simulation.addWorker("w2");
        simulation.startOwner(FaultPlan.NO_FAULTS, FaultPlan.NO_FAULTS, Set.of("w1"));
        simulation.runtime.advance(3_000);
        assertThat(simulation.invariants.violations(), empty());
    }

    /** The leases of the worker must go on as soon as it answers again. */
    @Test
    void shortSilenceOfAWorkerWhileWritesAreRefusedEndsNoRun() {
        startOwnerRefusedForMillis(6_000);
        simulation.submit(SUBMISSION, CellSimulation.longRunningStep(1));
        advanceTo(REFUSED_FROM_MILLIS);
        simulation.unreachable.add("w0");
        simulation.runtime.advance(2_000);
        simulation.unreachable.remove("w0");
        simulation.runtime.advance(6_000);
        TaskId task = new TaskId(SUBMISSION, 0, 0, 0);
        assertThat(simulation.invariants.activeRunCount(task), equalTo(1));
        assertThat(simulation.startCount("w0"), equalTo(1));
    }

    /**
     * Lists a new worker twice while writes are refused, and submits a task that fits there only.
     */
    private void listNewWorkerAgain() {
        simulation.taskDurationMillis = 20_000;
        startOwnerRefusedForMillis(60_000);
        simulation.submit(SUBMISSION, CellSimulation.longRunningStep(4));
        advanceTo(REFUSED_FROM_MILLIS);
        simulation.addWorker("w1");
        simulation.runtime.advance(200);
        simulation.unregister("w1");
        simulation.runtime.advance(200);
        simulation.register("w1", false);
        simulation.runtime.advance(1_000);
        simulation.submit(NEXT, CellSimulation.shortStep(1));
        simulation.runtime.advance(2_000);
    }

    /**
     * Starts an owner whose writes are refused for some time.
     *
     * @param millis how long, in milliseconds
     */
    private void startOwnerRefusedForMillis(long millis) {
        simulation.startOwner(
                call -> {
                    long sinceMillis = simulation.runtime.nowMillis() - REFUSED_FROM_MILLIS;
                    return call.equals("commit") && sinceMillis >= 0 && sinceMillis < millis
                            ? CallFault.REFUSED
                            : CallFault.ANSWERED;
                },
                FaultPlan.NO_FAULTS);
    }

    /**
     * Advances the clock.
     *
     * @param millis the time to which it is advanced, in milliseconds
     */
    private void advanceTo(long millis) {
        simulation.runtime.advance(millis - simulation.runtime.nowMillis());
    }
}
