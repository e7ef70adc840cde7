package org.damasktiller.node.caller;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.notNullValue;
import static org.hamcrest.Matchers.nullValue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import org.damasktiller.scheduler.cell.CellKeys;
import org.damasktiller.scheduler.cell.CellLayout;
import org.damasktiller.scheduler.cell.SubmissionTombstone;
import org.damasktiller.scheduler.cell.TombstoneCause;
import org.damasktiller.scheduler.model.Resources;
import org.damasktiller.scheduler.model.Route;
import org.damasktiller.scheduler.model.StepSpec;
import org.damasktiller.scheduler.model.Submission;
import org.damasktiller.scheduler.port.StoreItem;
import org.damasktiller.standin.metadata.CallFault;
import org.damasktiller.standin.metadata.FaultInjectingStoreClient;
import org.damasktiller.standin.metadata.InMemoryStore;
import org.damasktiller.standin.time.VirtualTimeRuntime;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

/** Tests the responses to submissions while the store works and while it fails. */
final class SubmissionAcceptorTest {

    /** The identifier of the submission. */
    private static final String ID = "00000000000000a1";

    /** The clock and the timers, which the tests advance. */
    private final VirtualTimeRuntime runtime = new VirtualTimeRuntime();

    /** The contents of the store. */
    private final InMemoryStore store = new InMemoryStore(runtime);

    /** The responses that the acceptor has sent. */
    private final List<CallerResponse> responses = new ArrayList<>();

    /** How zones are divided into cells, or null while that is not known. */
    private @Nullable CellLayout layout = new CellLayout(Map.of("a", "north", "b", "north"), 2);

    /** The largest workers of the service, empty while they are not known. */
    private List<Resources> largestWorkers = List.of();

    /** Whether the cell is full. */
    private boolean full;

    /** What each task of the submission needs. */
    private Resources need = Resources.NONE;

    /** The longest value of the store, in bytes. */
    private int valueBytes = 1_048_576;

    /** How long the caller waits for a response, in milliseconds. */
    private long patienceMillis = 3_000;

    /** When the last response was sent, on the clock of the test, in milliseconds. */
    private long respondedAtMillis;

    @Test
    void storedSubmissionIsAccepted() {
        submit(List.of());
        assertThat(status(), equalTo(200));
        assertThat(store.value(CellKeys.openSubmissionsPrefix("service") + ID), notNullValue());
    }

    @Test
    void submissionIsRejectedWhileTheCellsAreNotKnown() {
        layout = null;
        submit(List.of());
        assertThat(status(), equalTo(503));
        runtime.advance(20_000);
        assertThat(store.value(CellKeys.submission(ID)), nullValue());
    }

    /** A record that no write could ever store was written until the time was up. */
    @Test
    void submissionWhoseRecordIsTooLongIsRefusedWithTheBound() {
        valueBytes = 50;
        submit(List.of());
        assertThat(status(), equalTo(400));
        assertThat(
                new String(responses.get(0).body(), StandardCharsets.UTF_8)
                        .contains("must take at most 50"),
                equalTo(true));
        assertThat(respondedAtMillis, lessThan(10L));
        assertThat(store.value(CellKeys.submission(ID)), nullValue());
    }

    /** A record that the store rejects as invalid was written until the time was up. */
    @Test
    void submissionThatTheStoreRejectsIsRefusedAtOnce() {
        store.limitValues(50);
        submit(List.of());
        assertThat(status(), equalTo(400));
        assertThat(respondedAtMillis, lessThan(10L));
    }

    @Test
    void repeatedSubmissionIsAccepted() {
        submit(List.of());
        submit(List.of());
        assertThat(status(), equalTo(200));
    }

    @Test
    void lostResponseIsResolvedByRetry() {
        submit(List.of(CallFault.ANSWER_LOST));
        assertThat(status(), equalTo(200));
    }

    @Test
    void refusedSubmissionIsNeverStored() {
        submit(repeat(CallFault.REFUSED));
        assertThat(status(), equalTo(503));
        runtime.advance(20_000);
        assertThat(store.value(CellKeys.submission(ID)), nullValue());
    }

    /**
     * The store is away, and a caller that has used up its time retries once more: a write that
     * nobody waits for would leave the outcome unknown.
     */
    @Test
    void requestWithoutTimeForWriteIsRejectedAtOnceAndNeverStored() {
        patienceMillis = 100;
        submit(List.of());
        assertThat(status(), equalTo(503));
        assertThat(respondedAtMillis, lessThan(10L));
        runtime.advance(20_000);
        assertThat(store.value(CellKeys.submission(ID)), nullValue());
    }

    /** Each write was refused before the time is up, between two of them. */
    @Test
    void submissionWhoseWritesWereAllRefusedIsRejectedAtTheDeadline() {
        patienceMillis = 400;
        submit(repeat(CallFault.REFUSED));
        assertThat(status(), equalTo(503));
        runtime.advance(20_000);
        assertThat(store.value(CellKeys.submission(ID)), nullValue());
    }

    @Test
    void refusalsAfterWriteWithoutResponseLeaveOutcomeUnknown() {
        List<CallFault> faults = new ArrayList<>(repeat(CallFault.REFUSED));
        faults.set(0, CallFault.LATE);
        submit(faults);
        assertThat(status(), equalTo(504));
        runtime.advance(20_000);
        assertThat(store.value(CellKeys.submission(ID)), notNullValue());
    }

    @Test
    void unresponsiveStoreTimesOutBeforeTheDeadline() {
        submit(repeat(CallFault.LOST));
        assertThat(status(), equalTo(504));
        assertThat(respondedAtMillis, lessThan(1_700L));
    }

    /**
     * Tasks that no worker can hold would otherwise wait until their caller gives up. The rejection
     * does not wait for a timeout, and only its tombstone is stored.
     */
    @Test
    void submissionThatNoWorkerCanHoldIsRejectedAtOnce() {
        largestWorkers = List.of(new Resources(64_000, 250_000, 0));
        need = new Resources(65_000, 1_000, 0);
        submit(List.of());
        assertThat(status(), equalTo(503));
        assertThat(respondedAtMillis, lessThan(100L));
        StoreItem record = store.read(CellKeys.submission(ID)).require().item();
        assertThat(SubmissionTombstone.isTombstone(record), equalTo(true));
        assertThat(SubmissionTombstone.causeOf(record), equalTo(TombstoneCause.UNSERVABLE));
        assertThat(store.list("", "").items().size(), equalTo(2));
        assertThat(store.value(CellKeys.tombstone(ID)), notNullValue());
    }

    @Test
    void storedSubmissionIsNotRejectedOnceItsWorkersAreGone() {
        need = new Resources(65_000, 1_000, 0);
        submit(List.of());
        largestWorkers = List.of(new Resources(64_000, 250_000, 0));
        submit(List.of());
        assertThat(status(), equalTo(200));
    }

    @Test
    void submissionThatNoWorkerCanHoldIsNotStoredWhileTheStoreRefuses() {
        largestWorkers = List.of(new Resources(64_000, 250_000, 0));
        need = new Resources(65_000, 1_000, 0);
        submit(repeat(CallFault.REFUSED));
        assertThat(status(), equalTo(503));
        runtime.advance(20_000);
        assertThat(store.value(CellKeys.submission(ID)), nullValue());
    }

    /** What an owner had no memory for was stored, and ended each owner in turn. */
    @Test
    void submissionToAFullCellIsRefusedAndNotStored() {
        full = true;
        submit(List.of());
        assertThat(status(), equalTo(503));
        assertThat(responses.get(0).retryAfterSeconds(), equalTo(5));
        assertThat(
                new String(responses.get(0).body(), StandardCharsets.UTF_8).contains("cell_full"),
                equalTo(true));
        assertThat(store.list("", "").items().size(), equalTo(0));
        full = false;
        submit(List.of());
        assertThat(status(), equalTo(200));
    }

    /** What is stored runs, so that a refusal would be untrue. */
    @Test
    void storedSubmissionIsNotRefusedOnceItsCellIsFull() {
        submit(List.of());
        full = true;
        submit(List.of());
        assertThat(status(), equalTo(200));
    }

    /** The store may have the submission, which only a write tells then. */
    @Test
    void submissionToAFullCellIsNotRefusedWhileTheStoreDoesNotTellWhetherItIsKnown() {
        submit(List.of());
        full = true;
        submit(List.of(CallFault.LOST));
        assertThat(status(), equalTo(200));
    }

    /**
     * Submits the submission and advances the clock by 4 s, 1 s beyond the caller's deadline.
     *
     * @param faults the faults of the first calls to the store; later calls succeed
     */
    private void submit(List<CallFault> faults) {
        Iterator<CallFault> remainingFaults = faults.iterator();
        FaultInjectingStoreClient client =
                new FaultInjectingStoreClient(
                        store,
                        runtime,
                        call ->
                                remainingFaults.hasNext()
                                        ? remainingFaults.next()
                                        : CallFault.ANSWERED);
        SubmissionAcceptor acceptor =
                new SubmissionAcceptor(
                        client,
                        () -> layout,
                        "a",
                        service -> largestWorkers,
                        (cell, bytes) -> !full,
                        valueBytes,
                        runtime,
                        (event, fields) -> {});
        Route route = new Route("route", "host", "/", "service", 0, 2, 2, 600, false);
        StepSpec step =
                new StepSpec(
                        1, need, 100, List.of(), false, false, false, "", "", 0, false, false, "",
                        0, false, 0);
        responses.clear();
        acceptor.accept(
                new CallerRequest(ID, route, 1, runtime.nowMillis() + patienceMillis),
                new Submission(ID, "", List.of(step), 0, 0, 0),
                response -> {
                    responses.add(response);
                    respondedAtMillis = runtime.nowMillis();
                });
        runtime.advance(4_000);
    }

    /**
     * Returns the status of the response and checks that there is exactly one.
     *
     * @return the HTTP status code
     */
    private int status() {
        assertThat(responses.size(), equalTo(1));
        return responses.get(0).status();
    }

    /**
     * Returns a list with the same fault for more calls than the acceptor makes.
     *
     * @param fault the fault of each call
     * @return 60 times the fault
     */
    private static List<CallFault> repeat(CallFault fault) {
        List<CallFault> faults = new ArrayList<>();
        for (int call = 0; call < 60; call++) {
            faults.add(fault);
        }
        return faults;
    }
}
