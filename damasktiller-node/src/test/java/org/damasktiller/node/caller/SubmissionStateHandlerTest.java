package org.damasktiller.node.caller;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.nullValue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.damasktiller.scheduler.cell.CellKeys;
import org.damasktiller.scheduler.cell.StoredValueCodec;
import org.damasktiller.scheduler.model.PartsRecord;
import org.damasktiller.scheduler.model.Route;
import org.damasktiller.scheduler.model.SubmissionRecord;
import org.damasktiller.scheduler.model.SubmissionState;
import org.damasktiller.scheduler.port.StoreTransaction;
import org.damasktiller.standin.metadata.CallFault;
import org.damasktiller.standin.metadata.FaultInjectingStoreClient;
import org.damasktiller.standin.metadata.FaultPlan;
import org.damasktiller.standin.metadata.InMemoryStore;
import org.damasktiller.standin.time.VirtualTimeRuntime;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

/** Tests cancellations of submissions of which tasks have moved to other cells. */
final class SubmissionStateHandlerTest {

    /** The identifier of the submission. */
    private static final String ID = "00000000000000a1";

    /** The cell that accepted the submission. */
    private static final String FIRST_CELL = "service@a";

    /** The cell that tasks have moved to. */
    private static final String OTHER_CELL = "service@b";

    /** How long the caller waits for a response, in milliseconds. */
    private static final long PATIENCE_MILLIS = 3_000;

    /** A moment between the read and the write of a cancellation, in milliseconds. */
    private static final long BETWEEN_CALLS_MILLIS = 5;

    /** The clock and the timers, which the tests advance. */
    private final VirtualTimeRuntime runtime = new VirtualTimeRuntime();

    /** The contents of the store. */
    private final InMemoryStore store = new InMemoryStore(runtime);

    /** The responses that the handler has sent. */
    private final List<CallerResponse> responses = new ArrayList<>();

    @Test
    void cancelRemovesEntryOfSubmissionThatHasNotMoved() {
        accept();
        cancel(FaultPlan.NO_FAULTS);
        assertCancelled();
    }

    @Test
    void cancelRemovesEntriesOfAllCellsThatHaveParts() {
        accept();
        move(List.of(0, 0));
        cancel(FaultPlan.NO_FAULTS);
        assertCancelled();
    }

    // A cancel whose write conflicts with a move must not leave the moved tasks running.
    @Test
    void cancelThatConflictsWithMoveRemovesEntriesOfAllCells() {
        accept();
        runtime.schedule(BETWEEN_CALLS_MILLIS, () -> move(List.of(0)));
        cancel(FaultPlan.NO_FAULTS);
        assertCancelled();
    }

    @Test
    void lostResponseToCancelOfPartsIsResolved() {
        accept();
        move(List.of(0));
        int[] commits = new int[1];
        cancel(
                call -> {
                    boolean lost = call.equals("commit") && ++commits[0] == 2;
                    return lost ? CallFault.ANSWER_LOST : CallFault.ANSWERED;
                });
        assertCancelled();
    }

    /** Stores a submission as accepted by the first cell. */
    private void accept() {
        store.commit(
                new StoreTransaction()
                        .put(CellKeys.submission(ID), record(SubmissionState.QUEUED))
                        .put(openKey(FIRST_CELL), new byte[] {'{', '}'}));
    }

    /**
     * Stores a move of tasks to the other cell.
     *
     * @param steps the step of each task
     */
    private void move(List<Integer> steps) {
        store.commit(
                new StoreTransaction()
                        .put(
                                CellKeys.parts(ID),
                                StoredValueCodec.encode(
                                        new PartsRecord(FIRST_CELL, Map.of(OTHER_CELL, steps))))
                        .put(openKey(OTHER_CELL), new byte[] {'{', '}'}));
    }

    /**
     * Cancels the submission and waits for the response.
     *
     * @param faults the faults of the calls to the store
     */
    private void cancel(FaultPlan faults) {
        SubmissionStateHandler handler =
                new SubmissionStateHandler(
                        new FaultInjectingStoreClient(store, runtime, faults),
                        (cell, id) -> null,
                        runtime,
                        (event, fields) -> {});
        Route route = new Route("route", "host", "/", "service", 0, 1, 0, 0, false);
        handler.cancel(
                new CallerRequest(ID, route, 1, runtime.nowMillis() + PATIENCE_MILLIS),
                responses::add);
        runtime.advance(PATIENCE_MILLIS);
    }

    /** Asserts that the caller was told so, and that no cell has an entry. */
    private void assertCancelled() {
        assertThat(responses.stream().map(CallerResponse::status).toList(), equalTo(List.of(200)));
        byte[] value = store.value(CellKeys.submission(ID));
        assertThat(state(value), equalTo(SubmissionState.CANCELLED));
        assertThat(store.value(openKey(FIRST_CELL)), nullValue());
        assertThat(store.value(openKey(OTHER_CELL)), nullValue());
        assertThat(store.value(CellKeys.parts(ID)), nullValue());
    }

    /**
     * Encodes a record of the submission.
     *
     * @param state the state
     * @return the record
     */
    private static byte[] record(SubmissionState state) {
        return StoredValueCodec.encode(new SubmissionRecord(FIRST_CELL, "route", state, 0));
    }

    /**
     * Decodes the state in a record of the submission.
     *
     * @param value the record, or null
     * @return the state, or null without a record
     */
    private static @Nullable SubmissionState state(byte @Nullable [] value) {
        SubmissionRecord record =
                value == null ? null : StoredValueCodec.decode(value, SubmissionRecord.class);
        return record == null ? null : record.state();
    }

    /**
     * Returns the key of the submission's entry in a cell.
     *
     * @param cell the name of the cell
     * @return the key
     */
    private static String openKey(String cell) {
        return CellKeys.openSubmissionsPrefix(cell) + ID;
    }
}
