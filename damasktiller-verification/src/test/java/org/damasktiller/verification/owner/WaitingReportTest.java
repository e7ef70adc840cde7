package org.damasktiller.verification.owner;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.both;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

import java.util.List;
import org.damasktiller.standin.metadata.CallFault;
import org.damasktiller.standin.metadata.FaultPlan;
import org.damasktiller.verification.owner.CellSimulation.OwnerProcess;
import org.junit.jupiter.api.Test;

/** Tests that the log tells why a task waits for long. */
final class WaitingReportTest {

    /** The identifier of the submission that waits. */
    private static final String WAITING = "00000000000000e1";

    /** The most lines on one step within 10 s. */
    private static final int MAX_LINES = 2;

    /** The cell. */
    private final CellSimulation simulation = new CellSimulation(2);

    @Test
    void taskWithoutRoomIsExplainedByTheWorkers() {
        simulation.startOwner();
        simulation.submit("00000000000000e0", CellSimulation.longRunningStep(8));
        simulation.runtime.advance(4_000);
        assertThat(reports(), empty());
        simulation.submit(WAITING, CellSimulation.shortStep(3));
        simulation.runtime.advance(10_000);
        assertThat(reports(), not(empty()));
        assertThat(reports().size(), lessThanOrEqualTo(MAX_LINES));
        assertThat(
                reports(),
                everyItem(
                        both(containsString("task, " + WAITING))
                                .and(containsString("waiting, 3"))
                                .and(containsString("NO_WORKER"))
                                .and(containsString("{NO_ROOM=2}"))));
    }

    @Test
    void taskWhoseStartMayStillArriveIsExplainedByThatStart() {
        simulation.startOwner(
                FaultPlan.NO_FAULTS,
                call -> {
                    if (call.startsWith("start")) {
                        simulation.unreachable.addAll(simulation.workers.keySet());
                        return CallFault.LOST;
                    }
                    return CallFault.ANSWERED;
                });
        simulation.runtime.advance(500);
        simulation.submit(WAITING, CellSimulation.longRunningStep(1));
        simulation.runtime.advance(6_000);
        assertThat(
                reports(),
                hasItem(both(containsString("START_MAY_ARRIVE")).and(containsString("worker, w"))));
    }

    @Test
    void taskThatAPreviousRunHoldsIsExplainedByItsWorker() {
        OwnerProcess first = simulation.startOwner();
        simulation.submit(WAITING, CellSimulation.longRunningStep(1));
        simulation.runtime.advance(1_000);
        String worker = simulation.workersUsed().iterator().next();
        simulation.unreachable.add(worker);
        simulation.runtime.advance(2_500);
        first.kill();
        simulation.startOwner();
        simulation.runtime.advance(4_500);
        assertThat(
                reports(),
                hasItem(
                        both(containsString("HELD_BY_PREVIOUS_RUN"))
                                .and(containsString("holders, [" + worker + "]"))));
    }

    /** Each line costs a look at all workers. */
    @Test
    void onlyFewOfManyWaitingStepsAreExplained() {
        simulation.startOwner();
        simulation.submit("00000000000000e0", CellSimulation.longRunningStep(8));
        simulation.runtime.advance(1_000);
        for (int number = 0; number < 100; number++) {
            simulation.submit(String.format("%016x", 0x4000 + number), CellSimulation.shortStep(1));
        }
        simulation.runtime.advance(5_000);
        assertThat(reports(), not(empty()));
        assertThat(reports().size(), lessThanOrEqualTo(5 * 8));
    }

    /** Each cause is counted once in each interval, with the age of the oldest wait. */
    @Test
    void waitingStepsAreCountedByCause() {
        simulation.startOwner();
        simulation.submit("00000000000000e0", CellSimulation.longRunningStep(8));
        simulation.runtime.advance(2_000);
        for (int number = 0; number < 3; number++) {
            simulation.submit(String.format("%016x", 0x7000 + number), CellSimulation.shortStep(1));
        }
        simulation.runtime.advance(10_000);
        List<String> counts =
                simulation.logLines.stream()
                        .filter(line -> line.contains(" waiting.no_worker "))
                        .toList();
        assertThat(counts.size(), lessThanOrEqualTo(MAX_LINES));
        assertThat(counts, hasItem(containsString("steps, 3, millis, ")));
    }

    /**
     * Returns the lines that explain waiting tasks.
     *
     * @return the lines
     */
    private List<String> reports() {
        return simulation.logLines.stream()
                .filter(line -> line.contains(" step.waiting "))
                .toList();
    }
}
