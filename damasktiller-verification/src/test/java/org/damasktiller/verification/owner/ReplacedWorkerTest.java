package org.damasktiller.verification.owner;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.damasktiller.scheduler.model.TaskId;
import org.damasktiller.standin.metadata.CallFault;
import org.damasktiller.standin.metadata.FaultPlan;
import org.damasktiller.verification.owner.CellSimulation.OwnerProcess;
import org.junit.jupiter.api.Test;

/**
 * Tests how soon a long-running task runs whose start got no answer. The worker of that start has
 * crashed, and 3 s later another worker answers at its address.
 */
final class ReplacedWorkerTest {

    /** The longest time from the crash until the task runs, in milliseconds. */
    private static final long MAX_WAIT_MILLIS = 6_000;

    /** The longest time that a test waits for the task, in milliseconds. */
    private static final long TIME_LIMIT_MILLIS = 30_000;

    /** The time between two changes of the owner, in milliseconds. */
    private static final long TERM_MILLIS = 2_000;

    /** How long the cell has no owner at each change, in milliseconds. */
    private static final long VACANCY_MILLIS = 300;

    /** The time of a test between two looks at the task, in milliseconds. */
    private static final long STEP_MILLIS = 10;

    /** The number of workers. */
    private static final int WORKER_COUNT = 4;

    /** The identifier of the submission, of one long-running task. */
    private static final String SUBMISSION = "00000000000000a1";

    /** The only task. */
    private static final TaskId TASK = new TaskId(SUBMISSION, 0, 0, 0);

    /** The cell. */
    private final CellSimulation simulation = new CellSimulation(WORKER_COUNT);

    /** The time since the crash in which the task has not run, in milliseconds. */
    private long waitedMillis;

    /** The owner is not replaced. */
    @Test
    void taskWhoseStartGotNoAnswerRunsOnceItsWorkerIsReplaced() {
        crashDuringStart();
        while (isWaiting()) {
            advance();
        }
        assertOutcome();
    }

    /** The successors know the worker of the start from the stored roster only. */
    @Test
    void taskWhoseStartGotNoAnswerRunsWhileOwnersLeaveInSeries() {
        runUnderOwnersInSeries(OwnerProcess::leave);
    }

    /** The first owner is killed before it has found that the worker does not answer. */
    @Test
    void taskWhoseStartGotNoAnswerRunsWhileOwnersAreKilledInSeries() {
        runUnderOwnersInSeries(OwnerProcess::kill);
    }

    /** A foreign writer puts the address of another worker into the entry of a live one. */
    @Test
    void taskOfAWorkerWhoseEntryWasOverwrittenRunsOnlyOnce() {
        simulation.startOwner();
        overwriteAddressOfBusyWorker();
        simulation.runtime.advance(TIME_LIMIT_MILLIS);
        assertThat(simulation.invariants.violations(), empty());
    }

    /** The owner that started the task is killed at the same time. */
    @Test
    void taskOfAWorkerWhoseEntryWasOverwrittenRunsOnlyOnceUnderASuccessor() {
        OwnerProcess owner = simulation.startOwner();
        overwriteAddressOfBusyWorker();
        owner.kill();
        simulation.runtime.advance(VACANCY_MILLIS);
        simulation.startOwner();
        simulation.runtime.advance(TIME_LIMIT_MILLIS);
        assertThat(simulation.invariants.violations(), empty());
    }

    /** Runs the task, then overwrites the entry of its worker with the address of another one. */
    private void overwriteAddressOfBusyWorker() {
        simulation.runtime.advance(1_000);
        simulation.submit(SUBMISSION, CellSimulation.longRunningStep(1));
        simulation.runtime.advance(2_000);
        String busyId = simulation.workersUsed().iterator().next();
        String otherId =
                simulation.workers.keySet().stream()
                        .filter(id -> !id.equals(busyId))
                        .findFirst()
                        .orElseThrow();
        simulation.overwriteAddress(busyId, otherId);
    }

    /**
     * Changes the owner every 2 s, from 0.5 s after the crash on, until the task runs.
     *
     * @param end called before an owner is killed, when its term ends
     */
    private void runUnderOwnersInSeries(Consumer<OwnerProcess> end) {
        OwnerProcess owner = crashDuringStart();
        long untilChangeMillis = TERM_MILLIS / 4;
        while (isWaiting()) {
            if (untilChangeMillis == 0) {
                end.accept(owner);
            } else if (untilChangeMillis == -VACANCY_MILLIS) {
                owner.kill();
                owner = simulation.startOwner();
                untilChangeMillis = TERM_MILLIS - VACANCY_MILLIS;
            }
            untilChangeMillis -= STEP_MILLIS;
            advance();
        }
        assertOutcome();
    }

    /**
     * Starts the first owner, loses its first start request, and crashes the worker of that start.
     *
     * @return the process of the owner
     */
    private OwnerProcess crashDuringStart() {
        AtomicBoolean firstStart = new AtomicBoolean(true);
        OwnerProcess owner =
                simulation.startOwner(
                        FaultPlan.NO_FAULTS,
                        call ->
                                call.equals("start") && firstStart.getAndSet(false)
                                        ? CallFault.LOST
                                        : CallFault.ANSWERED);
        simulation.runtime.advance(1_000);
        simulation.submit(SUBMISSION, CellSimulation.longRunningStep(1));
        while (firstStart.get()) {
            simulation.runtime.advance(STEP_MILLIS);
        }
        simulation.workersUsed().forEach(simulation::crashWorker);
        return owner;
    }

    /** Advances the clock. */
    private void advance() {
        simulation.runtime.advance(STEP_MILLIS);
        waitedMillis += STEP_MILLIS;
    }

    /**
     * Returns whether the test has to go on.
     *
     * @return whether the task does not run and the time limit has not passed
     */
    private boolean isWaiting() {
        return simulation.invariants.activeRunCount(TASK) == 0 && waitedMillis < TIME_LIMIT_MILLIS;
    }

    /** Asserts that the task has not waited too long, and that no rule was broken. */
    private void assertOutcome() {
        assertThat(waitedMillis, lessThanOrEqualTo(MAX_WAIT_MILLIS));
        assertThat(simulation.invariants.violations(), empty());
    }
}
