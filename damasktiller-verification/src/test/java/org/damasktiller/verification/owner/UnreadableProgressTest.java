package org.damasktiller.verification.owner;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.notNullValue;

import java.nio.charset.StandardCharsets;
import org.damasktiller.scheduler.cell.CellKeys;
import org.damasktiller.scheduler.model.SubmissionState;
import org.damasktiller.scheduler.model.TaskId;
import org.damasktiller.scheduler.port.StoreTransaction;
import org.damasktiller.standin.fleet.SimulatedWorker;
import org.damasktiller.verification.owner.CellSimulation.OwnerProcess;
import org.junit.jupiter.api.Test;

/** Tests a takeover of a cell in whose store a progress record can't be read. */
final class UnreadableProgressTest {

    /** The identifier of the submission with that record. */
    private static final String SUBMISSION = "00000000000000a1";

    /** The last task of it that runs. */
    private static final TaskId LAST_TASK = new TaskId(SUBMISSION, 0, 1, 0);

    /** The key of that record. */
    private static final String PROGRESS_KEY =
            CellKeys.progressPrefix(CellSimulation.CELL) + SUBMISSION;

    /** A value that can't be read. */
    private static final byte[] UNREADABLE = "{\"tasks\":7".getBytes(StandardCharsets.UTF_8);

    /** How long before the end of a task its owner ends, in milliseconds: less than a takeover. */
    private static final long BEFORE_END_MILLIS = 10;

    /** The identifier of another submission. */
    private static final String OTHER_SUBMISSION = "00000000000000a2";

    /** The cell. */
    private final CellSimulation simulation = new CellSimulation(4);

    /** The tasks of the submission started again although they were done. */
    @Test
    void taskThatIsDoneDoesNotStartAgainIfItsProgressCannotBeRead() {
        OwnerProcess owner = simulation.startOwner();
        simulation.submit(
                SUBMISSION, CellSimulation.shortStep(1), CellSimulation.longRunningStep(1));
        simulation.runtime.advance(3_000);
        owner.kill();
        simulation.store.commit(new StoreTransaction().put(PROGRESS_KEY, UNREADABLE));
        simulation.startOwner();
        simulation.submit(OTHER_SUBMISSION, CellSimulation.shortStep(2));
        simulation.runtime.advance(30_000);
        assertThat(simulation.invariants.startCount(new TaskId(SUBMISSION, 0, 0, 0)), equalTo(1));
        assertThat(
                simulation.submissionState(OTHER_SUBMISSION), equalTo(SubmissionState.SUCCEEDED));
        assertThat(simulation.invariants.violations(), empty());
    }

    /** An end was acknowledged by an owner that couldn't store it, and its task ran again. */
    @Test
    void endUnderAnOwnerThatCannotReadTheProgressIsNotLost() {
        endTaskWhileItsProgressIsUnreadable();
        simulation.runtime.advance(20_000);
        assertThat(simulation.submissionState(SUBMISSION), equalTo(SubmissionState.SUCCEEDED));
        assertThat(simulation.invariants.startCount(LAST_TASK), equalTo(1));
        assertThat(simulation.invariants.violations(), empty());
    }

    /** Ends that are kept back must not keep back those of other submissions for good. */
    @Test
    void endsAreAcknowledgedOnceTheSubmissionIsCancelled() {
        OwnerProcess owner = endTaskWhileItsProgressIsUnreadable();
        owner.kill();
        simulation.store.commit(new StoreTransaction().put(PROGRESS_KEY, UNREADABLE));
        simulation.startOwner();
        simulation.runtime.advance(10_000);
        simulation.cancel(SUBMISSION);
        simulation.submit(OTHER_SUBMISSION, CellSimulation.shortStep(2));
        simulation.runtime.advance(10_000);
        assertThat(
                simulation.workers.values().stream()
                        .anyMatch(SimulatedWorker::hasUnacknowledgedEnds),
                equalTo(false));
        assertThat(simulation.invariants.violations(), empty());
    }

    /**
     * Lets a task end under an owner that can't read the progress of its submission, and starts an
     * owner that can.
     *
     * @return the process of the last owner
     */
    private OwnerProcess endTaskWhileItsProgressIsUnreadable() {
        OwnerProcess owner = simulation.startOwner();
        simulation.submit(SUBMISSION, CellSimulation.shortStep(1), CellSimulation.shortStep(1, 0));
        while (simulation.store.value(PROGRESS_KEY) == null
                || simulation.invariants.startCount(LAST_TASK) == 0) {
            simulation.runtime.advance(1);
        }
        simulation.runtime.advance(simulation.taskDurationMillis - BEFORE_END_MILLIS);
        byte[] progress = simulation.store.value(PROGRESS_KEY);
        assertThat(progress, notNullValue());
        owner.kill();
        simulation.store.commit(new StoreTransaction().put(PROGRESS_KEY, UNREADABLE));
        owner = simulation.startOwner();
        simulation.runtime.advance(10_000);
        owner.kill();
        simulation.store.commit(new StoreTransaction().put(PROGRESS_KEY, progress));
        return simulation.startOwner();
    }
}
