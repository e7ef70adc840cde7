package org.damasktiller.verification.owner;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.notNullValue;
import static org.hamcrest.Matchers.nullValue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.damasktiller.scheduler.cell.CellKeys;
import org.damasktiller.scheduler.cell.ProgressRecord;
import org.damasktiller.scheduler.cell.StoredValueCodec;
import org.damasktiller.scheduler.model.SubmissionState;
import org.damasktiller.scheduler.port.StoreTransaction;
import org.junit.jupiter.api.Test;

/** Tests that the progress of submissions that are over does not stay in the store. */
final class ProgressRemovalTest {

    /** The identifier of the submission. */
    private static final String SUBMISSION = "00000000000000e1";

    /** The key of its progress. */
    private static final String PROGRESS =
            CellKeys.progressPrefix(CellSimulation.CELL) + SUBMISSION;

    /** The time in which progress must be gone, in milliseconds. */
    private static final long REMOVED_MILLIS = 10_000;

    // Progress that is on its way to the store at a cancellation must not stay there.
    @Test
    void cancellationAtAnyMomentLeavesNoProgress() {
        for (long moment = 0; moment < 1_500; moment += 10) {
            CellSimulation simulation = new CellSimulation(2);
            simulation.startOwner();
            simulation.runtime.advance(1_000);
            simulation.submit(SUBMISSION, CellSimulation.shortStep(20));
            simulation.runtime.advance(moment);
            simulation.cancel(SUBMISSION);
            simulation.runtime.advance(REMOVED_MILLIS);

            assertThat(
                    "cancelled after " + moment + " ms",
                    simulation.store.value(PROGRESS),
                    nullValue());
        }
    }

    // A submission that is cancelled while its cell has no owner must leave no progress either.
    @Test
    void successorRemovesProgressOfCancelledSubmission() {
        CellSimulation simulation = new CellSimulation(2);
        CellSimulation.OwnerProcess owner = simulation.startOwner();
        simulation.submit(SUBMISSION, CellSimulation.longRunningStep(2));
        simulation.runtime.advance(3_000);
        assertThat(simulation.store.value(PROGRESS), notNullValue());
        owner.kill();
        simulation.cancel(SUBMISSION);
        simulation.startOwner();
        simulation.runtime.advance(REMOVED_MILLIS);

        assertThat(simulation.store.value(PROGRESS), nullValue());
    }

    // Many removals do not fit into one transaction.
    @Test
    void successorRemovesProgressOfManySubmissions() {
        CellSimulation simulation = new CellSimulation(2);
        for (int number = 0; number < 100; number++) {
            storeProgress(simulation, String.format("%016x", number));
        }
        simulation.startOwner();
        simulation.submit(SUBMISSION, CellSimulation.shortStep(1));
        simulation.runtime.advance(REMOVED_MILLIS);

        for (int number = 0; number < 100; number++) {
            String key =
                    CellKeys.progressPrefix(CellSimulation.CELL) + String.format("%016x", number);
            assertThat(key, simulation.store.value(key), nullValue());
        }
        assertThat(simulation.submissionState(SUBMISSION), equalTo(SubmissionState.SUCCEEDED));
    }

    // An entry that this release can't decode may be one of a later release, which needs it.
    @Test
    void progressOfSubmissionThatCannotBeDecodedIsKept() {
        CellSimulation simulation = new CellSimulation(2);
        storeProgress(simulation, SUBMISSION);
        simulation.store.commit(
                new StoreTransaction()
                        .put(
                                CellKeys.openSubmissionsPrefix(CellSimulation.CELL) + SUBMISSION,
                                "?".getBytes(StandardCharsets.UTF_8)));
        simulation.startOwner();
        simulation.runtime.advance(REMOVED_MILLIS);

        assertThat(simulation.store.value(PROGRESS), notNullValue());
    }

    /**
     * Stores progress as a previous owner has.
     *
     * @param simulation the simulation
     * @param id the identifier of the submission
     */
    private static void storeProgress(CellSimulation simulation, String id) {
        simulation.store.commit(
                new StoreTransaction()
                        .put(
                                CellKeys.progressPrefix(CellSimulation.CELL) + id,
                                StoredValueCodec.encode(new ProgressRecord(List.of()))));
    }
}
