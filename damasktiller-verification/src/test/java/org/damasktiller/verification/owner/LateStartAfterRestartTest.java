package org.damasktiller.verification.owner;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;

import java.util.concurrent.atomic.AtomicBoolean;
import org.damasktiller.standin.metadata.CallFault;
import org.damasktiller.standin.metadata.FaultPlan;
import org.junit.jupiter.api.Test;

/**
 * Tests a start that is carried out after its worker has restarted under the same identifier. The
 * owner had sent a stop of that run, which the new boot has not acknowledged.
 */
final class LateStartAfterRestartTest {

    /** The identifier of the submission, of one long-running task. */
    private static final String SUBMISSION = "00000000000000a1";

    @Test
    void lateStartAtANewBootRunsNothingTwice() {
        CellSimulation simulation = new CellSimulation(2);
        AtomicBoolean firstStart = new AtomicBoolean(true);
        simulation.startOwner(
                FaultPlan.NO_FAULTS,
                call ->
                        call.equals("start") && firstStart.getAndSet(false)
                                ? CallFault.LATE
                                : CallFault.ANSWERED);
        simulation.runtime.advance(9_000);
        simulation.submit(SUBMISSION, CellSimulation.longRunningStep(1));
        simulation.runtime.advance(1_350);
        String late = simulation.startCount("w0") > 0 ? "w0" : "w1";
        simulation.workers.get(late).crash();
        simulation.unreachable.add(late);
        simulation.runtime.advance(1_300);
        simulation.workers.get(late).boot();
        simulation.runtime.advance(50);
        simulation.unreachable.remove(late);
        simulation.register(late, false);
        simulation.runtime.advance(10_000);
        assertThat(simulation.invariants.violations(), empty());
    }
}
