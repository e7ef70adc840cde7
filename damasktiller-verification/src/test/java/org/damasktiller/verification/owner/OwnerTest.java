package org.damasktiller.verification.owner;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
import org.damasktiller.scheduler.cell.CellKeys;
import org.damasktiller.scheduler.model.SubmissionState;
import org.damasktiller.scheduler.model.TaskId;
import org.damasktiller.scheduler.port.StoreTransaction;
import org.damasktiller.standin.metadata.CallFault;
import org.damasktiller.standin.metadata.FaultPlan;
import org.damasktiller.verification.owner.CellSimulation.OwnerProcess;
import org.junit.jupiter.api.Test;

/** Tests the owner of a cell in scenarios with single failures of owners, workers and the store. */
final class OwnerTest {

    /** The identifier of the main submission of each test. */
    private static final String SUBMISSION = "00000000000000a1";

    @Test
    void stepsRunInOrderAndTheResultIsStored() {
        CellSimulation simulation = new CellSimulation(3);
        simulation.startOwner();
        simulation.submit(SUBMISSION, CellSimulation.shortStep(6), CellSimulation.shortStep(4, 0));
        simulation.runtime.advance(3_000);
        assertThat(simulation.submissionState(SUBMISSION), equalTo(SubmissionState.SUCCEEDED));
        assertThat(simulation.invariants.violations(), empty());
        assertThat(simulation.invariants.succeededTasks().size(), equalTo(10));
    }

    /**
     * The first owner cannot commit, so the ends of failed runs stay unacknowledged on the four
     * workers. The next owner reads them in any order. It must count all of them and must not start
     * the task again once its attempts are used up.
     */
    @Test
    void failedRunsListedInAnyOrderAllCount() {
        CellSimulation simulation = new CellSimulation(4);
        OwnerProcess first =
                simulation.startOwner(
                        call ->
                                call.equals("commit") && simulation.runtime.nowMillis() > 100
                                        ? CallFault.LOST
                                        : CallFault.ANSWERED,
                        FaultPlan.NO_FAULTS);
        simulation.runtime.advance(200);
        for (int number = 0; number < 12; number++) {
            String id = "00000000000000c" + Integer.toHexString(number);
            simulation.failingSubmissions.add(id);
            simulation.submit(id, CellSimulation.shortStep(1));
            simulation.runtime.advance(60);
        }
        simulation.runtime.advance(2_500);
        first.kill();
        simulation.startOwner();
        simulation.runtime.advance(12_000);
        for (int number = 0; number < 12; number++) {
            String id = "00000000000000c" + Integer.toHexString(number);
            assertThat(simulation.submissionState(id), equalTo(SubmissionState.FAILED));
            assertThat(
                    simulation.invariants.startCount(new TaskId(id, 0, 0, 0)),
                    equalTo(CellSimulation.MAX_ATTEMPTS));
        }
        assertThat(simulation.invariants.violations(), empty());
    }

    @Test
    void longRunningTasksRestartElsewhereWhenTheirWorkerIsLost() {
        CellSimulation simulation = new CellSimulation(3);
        simulation.startOwner();
        simulation.submit(SUBMISSION, CellSimulation.longRunningStep(2));
        simulation.runtime.advance(1_000);
        for (String id : simulation.workers.keySet()) {
            if (simulation.workers.get(id).activeRunCount() > 0) {
                simulation.unreachable.add(id);
                simulation.unregister(id);
                break;
            }
        }
        simulation.runtime.advance(9_000);
        assertThat(simulation.invariants.violations(), empty());
        assertThat(
                simulation.invariants.activeRunCount(new TaskId(SUBMISSION, 0, 0, 0)), equalTo(1));
        assertThat(
                simulation.invariants.activeRunCount(new TaskId(SUBMISSION, 0, 0, 1)), equalTo(1));
    }

    /**
     * A part of each worker is reserved for urgent work and closed to new long-running tasks. A
     * long-running task that has run before must be able to use it, even if its worker is lost
     * during a change of the owner.
     */
    @Test
    void longRunningTaskThatRanRestartsUnderTheNextOwner() {
        CellSimulation simulation = new CellSimulation(2);
        OwnerProcess first = simulation.startOwner();
        simulation.submit(SUBMISSION, CellSimulation.longRunningStep(6));
        simulation.runtime.advance(1_000);
        first.kill();
        simulation.unreachable.add("w0");
        simulation.unregister("w0");
        simulation.startOwner();
        simulation.addWorker("w2");
        simulation.submit("00000000000000a2", CellSimulation.longRunningStep(1));
        simulation.runtime.advance(12_000);
        for (int index = 0; index < 6; index++) {
            assertThat(
                    simulation.invariants.activeRunCount(new TaskId(SUBMISSION, 0, 0, index)),
                    equalTo(1));
        }
        assertThat(simulation.invariants.violations(), empty());
    }

    @Test
    void cancelledSubmissionStopsAndDoesNotRestart() {
        CellSimulation simulation = new CellSimulation(2);
        simulation.startOwner();
        simulation.submit(SUBMISSION, CellSimulation.longRunningStep(2));
        simulation.runtime.advance(1_000);
        simulation.cancel(SUBMISSION);
        simulation.runtime.advance(1_000);
        assertThat(
                simulation.invariants.activeRunCount(new TaskId(SUBMISSION, 0, 0, 0)), equalTo(0));
        int starts = simulation.invariants.startCount(new TaskId(SUBMISSION, 0, 0, 0));
        simulation.runtime.advance(3_000);
        assertThat(
                simulation.invariants.startCount(new TaskId(SUBMISSION, 0, 0, 0)), equalTo(starts));
    }

    @Test
    void supersededOwnerStartsNothing() {
        CellSimulation simulation = new CellSimulation(2);
        OwnerProcess first = simulation.startOwner();
        simulation.runtime.advance(500);
        simulation.startOwner();
        simulation.submit(SUBMISSION, CellSimulation.shortStep(4));
        simulation.runtime.advance(3_000);
        assertThat(first.ended, is(true));
        assertThat(simulation.invariants.violations(), empty());
        assertThat(simulation.submissionState(SUBMISSION), equalTo(SubmissionState.SUCCEEDED));
    }

    /**
     * Compacting the store forces new listings, which may be older than the removal of a completed
     * submission. Such a listing must not make the owner start the submission again.
     */
    @Test
    void completedSubmissionIsNotRestartedByAnOlderListing() {
        CellSimulation simulation = new CellSimulation(8);
        simulation.startOwner();
        simulation.runtime.advance(100);
        for (int round = 0; round < 600; round++) {
            if (round % 4 == 0 && round < 160) {
                simulation.submit(String.format("%016x", round), CellSimulation.shortStep(1));
            }
            simulation.runtime.advance(3);
            simulation.store.compact();
        }
        simulation.runtime.advance(3_000);
        assertThat(simulation.invariants.violations(), empty());
        for (int round = 0; round < 160; round += 4) {
            TaskId task = new TaskId(String.format("%016x", round), 0, 0, 0);
            assertThat(simulation.invariants.startCount(task), equalTo(1));
        }
    }

    /**
     * An unreachable worker keeps running its tasks until its lease expires. A second change of the
     * owner must not make the cell forget that worker, or its tasks would run twice.
     */
    @Test
    void secondTakeoverStillWaitsForAnUnreachableWorker() {
        CellSimulation simulation = new CellSimulation(3);
        OwnerProcess first = simulation.startOwner();
        simulation.submit(SUBMISSION, CellSimulation.longRunningStep(3));
        simulation.runtime.advance(1_000);
        simulation.unreachable.add("w0");
        simulation.unregister("w0");
        first.kill();
        OwnerProcess second = simulation.startOwner();
        simulation.runtime.advance(400);
        second.kill();
        simulation.startOwner();
        simulation.runtime.advance(12_000);
        assertThat(simulation.invariants.violations(), empty());
    }

    /**
     * A roster that can't be read may name any worker. The owner must not take it for an empty one
     * while a worker that it does not reach runs the tasks of its predecessor.
     */
    @Test
    void unreadableRosterCountsAsOneOfUnknownWorkers() {
        CellSimulation simulation = new CellSimulation(2);
        OwnerProcess first = simulation.startOwner();
        simulation.submit(SUBMISSION, CellSimulation.longRunningStep(2));
        simulation.runtime.advance(1_000);
        first.kill();
        simulation.store.commit(
                new StoreTransaction()
                        .put(
                                CellKeys.roster(CellSimulation.CELL),
                                "{\"workers\":7".getBytes(StandardCharsets.UTF_8)));
        simulation.unreachable.add("w0");
        simulation.unregister("w0");
        simulation.startOwner();
        simulation.runtime.advance(12_000);
        assertThat(simulation.invariants.violations(), empty());
        assertThat(
                simulation.logLines.stream()
                        .filter(line -> line.contains(" roster.unreadable "))
                        .count(),
                equalTo(1L));
        for (int index = 0; index < 2; index++) {
            assertThat(
                    simulation.invariants.activeRunCount(new TaskId(SUBMISSION, 0, 0, index)),
                    equalTo(1));
        }
    }

    /**
     * An owner resumes after a freeze and can still reach a worker that its successor does not know
     * and that has not seen the successor's fencing token. It must not extend that worker's lease
     * beyond the time for which the successor waits.
     */
    @Test
    void resumedOwnerDoesNotExtendALeaseBeyondItsAuthority() {
        CellSimulation simulation = new CellSimulation(1);
        OwnerProcess first =
                simulation.startOwner(loseStoreCallsAfter(simulation, 1_000), FaultPlan.NO_FAULTS);
        simulation.submit(SUBMISSION, CellSimulation.longRunningStep(3));
        simulation.runtime.advance(1_700);
        first.clock.freeze();
        simulation.unregister("w0");
        simulation.addWorker("w1");
        simulation.startOwner();
        simulation.runtime.advance(3_000);
        first.clock.unfreeze();
        simulation.runtime.advance(12_000);
        assertThat(
                simulation.invariants.activeRunCount(new TaskId(SUBMISSION, 0, 0, 0)), equalTo(1));
        assertThat(simulation.invariants.violations(), empty());
    }

    /**
     * An owner resumes after a freeze and reads a submission that was accepted after its
     * successor's term began. It must not start it on a worker that has not seen the successor's
     * fencing token.
     */
    @Test
    void resumedOwnerStartsNothingAcceptedAfterItsTerm() {
        CellSimulation simulation = new CellSimulation(1);
        OwnerProcess first =
                simulation.startOwner(loseStoreCallsAfter(simulation, 1_000), FaultPlan.NO_FAULTS);
        simulation.runtime.advance(1_700);
        first.clock.freeze();
        simulation.unregister("w0");
        simulation.addWorker("w1");
        simulation.startOwner();
        simulation.runtime.advance(200);
        simulation.taskDurationMillis = 3_000;
        simulation.submit(SUBMISSION, CellSimulation.shortStep(3));
        simulation.runtime.advance(300);
        first.clock.unfreeze();
        simulation.runtime.advance(12_000);
        assertThat(simulation.invariants.violations(), empty());
        assertThat(simulation.submissionState(SUBMISSION), equalTo(SubmissionState.SUCCEEDED));
    }

    /**
     * A worker restarts and executes a start before the owner learns of the restart. If the next
     * heartbeat acknowledged a sequence number of the previous boot, the worker would discard an
     * ended run that the owner has not seen, and the task would run again. Found by soak seed 235.
     */
    @Test
    void firstHeartbeatAfterARestartAcknowledgesNothing() {
        CellSimulation simulation = new CellSimulation(1);
        simulation.taskDurationMillis = 30;
        AtomicBoolean restartPending = new AtomicBoolean();
        simulation.startOwner(
                FaultPlan.NO_FAULTS,
                call -> {
                    if (call.equals("start") && restartPending.getAndSet(false)) {
                        simulation.workers.get("w0").boot();
                        return CallFault.ANSWER_LOST;
                    }
                    return CallFault.ANSWERED;
                });
        simulation.runtime.advance(500);
        simulation.submit("00000000000000a9", CellSimulation.shortStep(3));
        simulation.runtime.advance(2_000);
        restartPending.set(true);
        simulation.submit(SUBMISSION, CellSimulation.shortStep(1));
        simulation.runtime.advance(20_000);
        assertThat(simulation.invariants.violations(), empty());
        assertThat(simulation.submissionState(SUBMISSION), equalTo(SubmissionState.SUCCEEDED));
    }

    /**
     * An owner whose calls the store refuses must give up when a worker fences it, rather than keep
     * sending calls that workers refuse.
     */
    @Test
    void ownerRefusedByTheStoreEndsWhenItIsFenced() {
        CellSimulation simulation = new CellSimulation(2);
        OwnerProcess first =
                simulation.startOwner(
                        call ->
                                simulation.runtime.nowMillis() > 500
                                        ? CallFault.REFUSED
                                        : CallFault.ANSWERED,
                        FaultPlan.NO_FAULTS);
        simulation.submit(SUBMISSION, CellSimulation.longRunningStep(4));
        simulation.runtime.advance(1_000);
        simulation.startOwner();
        simulation.runtime.advance(1_000);
        assertThat(first.ended, is(true));
        assertThat(simulation.invariants.violations(), empty());
    }

    @Test
    void stepsThatNeedAdviceRunOnlyOnAdvisedWorkers() {
        CellSimulation simulation = new CellSimulation(4);
        simulation.adviceNeeded = true;
        simulation.advisedWorkers.add("w2");
        simulation.startOwner();
        simulation.submit(SUBMISSION, CellSimulation.shortStep(6), CellSimulation.shortStep(2, 0));
        simulation.runtime.advance(6_000);
        assertThat(simulation.submissionState(SUBMISSION), equalTo(SubmissionState.SUCCEEDED));
        assertThat(simulation.workersUsed(), equalTo(Set.of("w2")));
    }

    @Test
    void workerThatFailsEverythingDoesNotUseUpTheAttempts() {
        CellSimulation simulation = new CellSimulation(4);
        simulation.failingWorkers.add("w1");
        simulation.startOwner();
        for (int number = 0; number < 20; number++) {
            simulation.submit(
                    "00000000000000b" + Integer.toHexString(number), CellSimulation.shortStep(2));
            simulation.runtime.advance(150);
        }
        simulation.runtime.advance(8_000);
        int succeeded = 0;
        for (int number = 0; number < 20; number++) {
            String id = "00000000000000b" + Integer.toHexString(number);
            succeeded += simulation.submissionState(id) == SubmissionState.SUCCEEDED ? 1 : 0;
        }
        assertThat(succeeded, greaterThan(19));
        assertThat(simulation.invariants.violations(), empty());
    }

    /**
     * Creates a plan that from some time on loses all calls to the store, except watches for new
     * submissions.
     *
     * @param simulation the simulation, by whose clock the plan decides
     * @param millis the virtual time from which calls are lost, in milliseconds
     * @return the plan
     */
    private static FaultPlan loseStoreCallsAfter(CellSimulation simulation, long millis) {
        return call ->
                simulation.runtime.nowMillis() >= millis && !call.startsWith("watch open/")
                        ? CallFault.LOST
                        : CallFault.ANSWERED;
    }
}
