package org.damasktiller.verification.owner;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.notNullValue;

import java.util.Map;
import org.damasktiller.scheduler.cell.CellKeys;
import org.damasktiller.scheduler.cell.PendingRecord;
import org.damasktiller.scheduler.cell.StoredValueCodec;
import org.damasktiller.scheduler.model.Resources;
import org.damasktiller.scheduler.model.StepSpec;
import org.damasktiller.scheduler.model.SubmissionState;
import org.damasktiller.scheduler.model.TaskId;
import org.damasktiller.verification.owner.CellSimulation.OwnerProcess;
import org.junit.jupiter.api.Test;

/** Tests what a new owner tells of submissions whose tasks have run before its term. */
final class StartedSubmissionTest {

    /** The identifier of the submission. */
    private static final String SUBMISSION = "00000000000000b7";

    /** The cell. */
    private final CellSimulation simulation = new CellSimulation(4);

    /** A submission between two steps was queued again, and pending, after a takeover. */
    @Test
    void submissionWithATaskThatIsDoneIsNotQueuedUnderTheNextOwner() {
        OwnerProcess owner = simulation.startOwner();
        simulation.submit(SUBMISSION, CellSimulation.shortStep(1), stepThatFitsNoWorker());
        simulation.runtime.advance(3_000);
        assertStarted(owner);
        owner.kill();
        OwnerProcess next = simulation.startOwner();
        simulation.runtime.advance(3_000);
        assertStarted(next);
    }

    /** A submission whose only task has failed once, and waits, has started. */
    @Test
    void submissionWithATaskThatHasFailedIsNotQueuedUnderTheNextOwner() {
        OwnerProcess owner = simulation.startOwner();
        simulation.failingSubmissions.add(SUBMISSION);
        simulation.submit(SUBMISSION, CellSimulation.shortStep(1));
        TaskId task = new TaskId(SUBMISSION, 0, 0, 0);
        while (simulation.invariants.startCount(task) == 0) {
            simulation.runtime.advance(10);
        }
        simulation.workers.keySet().forEach(id -> simulation.register(id, true));
        simulation.runtime.advance(3_000);
        owner.kill();
        OwnerProcess next = simulation.startOwner();
        simulation.runtime.advance(3_000);
        assertStarted(next);
    }

    /** A submission of which no task has started is queued under each owner. */
    @Test
    void submissionThatNoOwnerHasStartedIsQueued() {
        simulation.submit(SUBMISSION, stepThatFitsNoWorker());
        OwnerProcess owner = simulation.startOwner();
        simulation.runtime.advance(3_000);
        assertThat(owner.submissionState(SUBMISSION), equalTo(SubmissionState.QUEUED));
        assertThat(pendingCounts(), equalTo(Map.of("route", 1)));
    }

    /**
     * Creates a step that waits for ever.
     *
     * @return the step
     */
    private static StepSpec stepThatFitsNoWorker() {
        return StepSpec.builder(1, new Resources(1_000_000, 1_000, 0)).build();
    }

    /**
     * Asserts that the submission is not taken for one of which no task has started.
     *
     * @param owner the process of the owner
     */
    private void assertStarted(OwnerProcess owner) {
        assertThat(owner.submissionState(SUBMISSION), equalTo(SubmissionState.RUNNING));
        assertThat(pendingCounts(), equalTo(Map.of()));
    }

    /**
     * Returns what the owner has published last.
     *
     * @return the number of submissions of each route of which no task has started
     */
    private Map<String, Integer> pendingCounts() {
        byte[] value = simulation.store.value(CellKeys.pending(CellSimulation.CELL));
        assertThat(value, notNullValue());
        PendingRecord record = StoredValueCodec.decode(value, PendingRecord.class);
        assertThat(record, notNullValue());
        return record.byRoute();
    }
}
