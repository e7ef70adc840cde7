package org.damasktiller.node.caller;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.notNullValue;
import static org.hamcrest.Matchers.nullValue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.damasktiller.scheduler.cell.CellKeys;
import org.damasktiller.scheduler.cell.CellLayout;
import org.damasktiller.scheduler.cell.StoredValueCodec;
import org.damasktiller.scheduler.model.Resources;
import org.damasktiller.scheduler.model.Route;
import org.damasktiller.scheduler.model.StepSpec;
import org.damasktiller.scheduler.model.Submission;
import org.damasktiller.scheduler.model.SubmissionRecord;
import org.damasktiller.scheduler.model.SubmissionState;
import org.damasktiller.scheduler.port.StoreTransaction;
import org.damasktiller.standin.metadata.CallFault;
import org.damasktiller.standin.metadata.FaultInjectingStoreClient;
import org.damasktiller.standin.metadata.FaultPlan;
import org.damasktiller.standin.metadata.InMemoryStore;
import org.damasktiller.standin.time.VirtualTimeRuntime;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests cancellations and final rejections of submissions that are not stored when they arrive. */
final class UnknownSubmissionCancelTest {

    /** The identifier of the submission. */
    private static final String ID = "00000000000000a1";

    /** The status of a request that succeeded. */
    private static final int OK = 200;

    /** The status of a request for a submission that is not known. */
    private static final int GONE = 410;

    /** The status of a request that had no effect. */
    private static final int UNAVAILABLE = 503;

    /** The status of a request of which the outcome is unknown. */
    private static final int TIMEOUT = 504;

    /** How long a caller waits for a response, in milliseconds. */
    private static final long PATIENCE_MILLIS = 3_000;

    /** Longer than any call to the store takes to be carried out, in milliseconds. */
    private static final long LATEST_WRITE_MILLIS = 6_000;

    /** Longer than any tombstone lasts, in milliseconds. */
    private static final long AFTER_TOMBSTONES_MILLIS = 600_000;

    /** Workers that can't hold the task of the submission. */
    private static final List<Resources> SMALL_WORKERS = List.of(new Resources(1_000, 1_000, 0));

    /** The route of the submission. */
    private final Route route = new Route("route", "host", "/", "service", 0, 2, 2, 600, false);

    /** The clock and the timers, which the tests advance. */
    private final VirtualTimeRuntime runtime = new VirtualTimeRuntime();

    /** The contents of the store. */
    private final InMemoryStore store = new InMemoryStore(runtime);

    /** The largest workers, empty while they are not known. */
    private List<Resources> largestWorkers = List.of();

    /** The faults of the calls of the VM that cancels. */
    private FaultPlan faults = FaultPlan.NO_FAULTS;

    /** Handles the cancellations. */
    private final SubmissionStateHandler canceller = handler(call -> faults.faultFor(call));

    /** Sets the clock to a time after 0. */
    @BeforeEach
    void startClock() {
        runtime.advance(1_000);
    }

    // A cancel was acknowledged from an absence, and the late write of the submission ran for ever.
    @Test
    void lateWriteOfCancelledSubmissionIsNotCarriedOut() {
        assertThat(submit(call -> CallFault.LATE), equalTo(TIMEOUT));
        assertThat(cancel(), equalTo(GONE));
        runtime.advance(LATEST_WRITE_MILLIS);
        assertNotRun();
    }

    // A request that arrives again after the cancellation was acknowledged ran for ever.
    @Test
    void submissionThatArrivesAfterItsCancelIsRefused() {
        assertThat(cancel(), equalTo(GONE));
        assertThat(submit(FaultPlan.NO_FAULTS), equalTo(UNAVAILABLE));
        assertNotRun();
    }

    @Test
    void submissionWhoseEarlierWriteHadNoResponseIsNotSaidToBeRefused() {
        assertThat(cancel(), equalTo(GONE));
        int[] commits = new int[1];
        FaultPlan firstLate =
                call ->
                        call.equals("commit") && ++commits[0] == 1
                                ? CallFault.LATE
                                : CallFault.ANSWERED;
        assertThat(submit(firstLate), equalTo(TIMEOUT));
        runtime.advance(LATEST_WRITE_MILLIS);
        assertNotRun();
    }

    // A submission that no worker can hold was said to be accepted, since a record was there.
    @Test
    void cancelledSubmissionThatNoWorkerCanHoldIsRefused() {
        largestWorkers = SMALL_WORKERS;
        assertThat(cancel(), equalTo(GONE));
        assertThat(submit(FaultPlan.NO_FAULTS), equalTo(UNAVAILABLE));
        assertNotRun();
    }

    @Test
    void otherVmsTellTheSameBeforeAndAfterTheCancel() {
        assertThat(query(), equalTo(GONE));
        assertThat(cancel(), equalTo(GONE));
        assertThat(query(), equalTo(GONE));
    }

    @Test
    void cancelIsNotAcknowledgedUnlessItIsStored() {
        faults = call -> call.equals("commit") ? CallFault.LOST : CallFault.ANSWERED;
        assertThat(cancel(), equalTo(TIMEOUT));
        assertThat(store.value(CellKeys.submission(ID)), nullValue());
    }

    @Test
    void cancelNeedsNoLease() {
        faults = call -> call.equals("grant") ? CallFault.REFUSED : CallFault.ANSWERED;
        assertThat(submit(call -> CallFault.LATE), equalTo(TIMEOUT));
        assertThat(cancel(), equalTo(GONE));
        runtime.advance(LATEST_WRITE_MILLIS);
        assertNotRun();
    }

    @Test
    void cancelWhoseResponseWasLostIsResolved() {
        int[] commits = new int[1];
        faults =
                call ->
                        call.equals("commit") && ++commits[0] == 1
                                ? CallFault.ANSWER_LOST
                                : CallFault.ANSWERED;
        assertThat(cancel(), equalTo(GONE));
        assertNotRun();
    }

    // The submission is stored between the read and the write of the cancellation.
    @Test
    void submissionThatIsStoredMeanwhileIsCancelled() {
        runtime.schedule(1, () -> startSubmit(FaultPlan.NO_FAULTS, new ArrayList<>()));
        assertThat(cancel(), equalTo(OK));
        assertNotRun();
        assertThat(storedState(), equalTo(SubmissionState.CANCELLED));
    }

    // Unknown identifiers must not fill the store.
    @Test
    void nothingIsLeftOfCancelsOfUnknownSubmissions() {
        remover(FaultPlan.NO_FAULTS).start();
        assertThat(cancel(), equalTo(GONE));
        assertThat(store.value(CellKeys.submission(ID)), notNullValue());
        runtime.advance(TombstoneRemover.SHORTEST_LIFE_MILLIS);
        assertThat(store.value(CellKeys.submission(ID)), notNullValue());
        runtime.advance(AFTER_TOMBSTONES_MILLIS);
        assertThat(store.value(CellKeys.submission(ID)), nullValue());
        assertThat(store.value(CellKeys.tombstone(ID)), nullValue());
        assertThat(submit(FaultPlan.NO_FAULTS), equalTo(OK));
    }

    // The removal is a write that may be carried out late, over a newer record.
    @Test
    void lateRemovalDoesNotRemoveALaterSubmission() {
        remover(call -> call.equals("commit") ? CallFault.LATE : CallFault.ANSWERED).start();
        assertThat(cancel(), equalTo(GONE));
        TombstoneRemover second = remover(FaultPlan.NO_FAULTS);
        runtime.advance(1_000);
        second.start();
        while (store.value(CellKeys.submission(ID)) != null) {
            runtime.advance(10);
        }
        assertThat(submit(FaultPlan.NO_FAULTS), equalTo(OK));
        runtime.advance(AFTER_TOMBSTONES_MILLIS);
        assertThat(storedState(), equalTo(SubmissionState.QUEUED));
    }

    // A process that takes the removal over does not know for how long the tombstones are there.
    @Test
    void newRemoverWaitsAnew() {
        boolean[] responsible = {true};
        new TombstoneRemover(
                        new FaultInjectingStoreClient(store, runtime, FaultPlan.NO_FAULTS),
                        () -> responsible[0],
                        runtime,
                        (event, fields) -> {})
                .start();
        assertThat(cancel(), equalTo(GONE));
        runtime.advance(TombstoneRemover.SHORTEST_LIFE_MILLIS);
        responsible[0] = false;
        runtime.advance(TombstoneRemover.LISTING_INTERVAL_MILLIS);
        responsible[0] = true;
        runtime.advance(TombstoneRemover.SHORTEST_LIFE_MILLIS);
        assertThat(store.value(CellKeys.submission(ID)), notNullValue());
        runtime.advance(2 * TombstoneRemover.LISTING_INTERVAL_MILLIS);
        assertThat(store.value(CellKeys.submission(ID)), nullValue());
    }

    // A VM of the release before has replaced the tombstone by one under a lease.
    @Test
    void keyOfATombstoneThatAnEarlierReleaseReplacedIsRemoved() {
        remover(FaultPlan.NO_FAULTS).start();
        assertThat(cancel(), equalTo(GONE));
        store.commit(new StoreTransaction().remove(CellKeys.submission(ID)));
        runtime.advance(AFTER_TOMBSTONES_MILLIS);
        assertThat(store.value(CellKeys.tombstone(ID)), nullValue());
    }

    // A late write that follows a repeated cancel was carried out once the first tombstone ended.
    @Test
    void repeatedCancelHoldsAsLongAsTheFirst() {
        remover(FaultPlan.NO_FAULTS).start();
        for (int cancels = 0; cancels < 60; cancels++) {
            assertThat(cancel(), equalTo(GONE));
            submit(call -> CallFault.LATE);
            assertThat(cancel(), equalTo(GONE));
            runtime.advance(LATEST_WRITE_MILLIS);
            assertNotRun();
        }
    }

    // An outage in which the store ended its leases ended the tombstone, and the late write ran.
    @Test
    void cancelHoldsAfterTheStoreHasEndedAllLeases() {
        assertThat(submit(call -> CallFault.LATE), equalTo(TIMEOUT));
        assertThat(cancel(), equalTo(GONE));
        store.revokeAllLeases();
        runtime.advance(LATEST_WRITE_MILLIS);
        assertNotRun();
        assertThat(submit(FaultPlan.NO_FAULTS), equalTo(UNAVAILABLE));
        assertThat(cancel(), equalTo(GONE));
    }

    // A refusal was answered from an absence, and the late write of the submission ran.
    @Test
    void lateWriteOfSubmissionThatNoWorkerCanHoldIsNotCarriedOut() {
        assertThat(submit(call -> CallFault.LATE), equalTo(TIMEOUT));
        largestWorkers = SMALL_WORKERS;
        assertThat(submit(FaultPlan.NO_FAULTS), equalTo(UNAVAILABLE));
        store.revokeAllLeases();
        runtime.advance(LATEST_WRITE_MILLIS);
        assertNotRun();
        assertThat(query(), equalTo(GONE));
    }

    // A VM that does not know the sizes of the workers accepted what another one had refused.
    @Test
    void otherVmsRefuseWhatNoWorkerCanHoldUntilTheTombstoneIsRemoved() {
        largestWorkers = SMALL_WORKERS;
        assertThat(submit(FaultPlan.NO_FAULTS), equalTo(UNAVAILABLE));
        largestWorkers = List.of();
        assertThat(submit(FaultPlan.NO_FAULTS), equalTo(UNAVAILABLE));
        assertNotRun();
        remover(FaultPlan.NO_FAULTS).start();
        runtime.advance(AFTER_TOMBSTONES_MILLIS);
        assertThat(submit(FaultPlan.NO_FAULTS), equalTo(OK));
    }

    @Test
    void refusalIsNotSaidToBeFinalUnlessItsTombstoneIsStored() {
        largestWorkers = SMALL_WORKERS;
        assertThat(submit(call -> CallFault.LOST), equalTo(TIMEOUT));
        assertThat(store.value(CellKeys.submission(ID)), nullValue());
        assertThat(submit(call -> CallFault.ANSWER_LOST), equalTo(TIMEOUT));
        assertThat(submit(FaultPlan.NO_FAULTS), equalTo(UNAVAILABLE));
        assertNotRun();
    }

    // A refusal rested on a tombstone that was removed before an earlier write took effect.
    @Test
    void lateWriteAfterRefusalByOldTombstoneIsNotCarriedOut() {
        remover(FaultPlan.NO_FAULTS).start();
        assertThat(cancel(), equalTo(GONE));
        runtime.advance(3 * TombstoneRemover.LISTING_INTERVAL_MILLIS - 1_800);
        assertThat(submit(call -> CallFault.LATE), equalTo(TIMEOUT));
        assertThat(submit(FaultPlan.NO_FAULTS), equalTo(UNAVAILABLE));
        runtime.advance(LATEST_WRITE_MILLIS);
        assertNotRun();
    }

    // The release before takes a tombstone for the record of a cancelled submission.
    @Test
    void tombstoneReadsAsCancelledSubmissionInTheReleaseBefore() {
        assertThat(cancel(), equalTo(GONE));
        assertThat(storedState(), equalTo(SubmissionState.CANCELLED));
    }

    /** Asserts that no owner finds the submission. */
    private void assertNotRun() {
        String openKey = CellKeys.openSubmissionsPrefix("service") + ID;
        assertThat("the submission runs", store.value(openKey) != null, equalTo(false));
    }

    /**
     * Returns the state in the stored record.
     *
     * @return the state
     */
    private SubmissionState storedState() {
        byte[] value = store.value(CellKeys.submission(ID));
        assertThat(value, notNullValue());
        return StoredValueCodec.decode(value, SubmissionRecord.class).state();
    }

    /**
     * Creates the handler of a VM.
     *
     * @param plan the faults of its calls to the store
     * @return the handler
     */
    private SubmissionStateHandler handler(FaultPlan plan) {
        return new SubmissionStateHandler(
                new FaultInjectingStoreClient(store, runtime, plan),
                (cell, id) -> null,
                runtime,
                (event, fields) -> {});
    }

    /**
     * Creates the remover of a VM.
     *
     * @param plan the faults of its calls to the store
     * @return the remover
     */
    private TombstoneRemover remover(FaultPlan plan) {
        return new TombstoneRemover(
                new FaultInjectingStoreClient(store, runtime, plan),
                () -> true,
                runtime,
                (event, fields) -> {});
    }

    /**
     * Cancels the submission.
     *
     * @return the status of the response
     */
    private int cancel() {
        List<CallerResponse> responses = new ArrayList<>();
        canceller.cancel(request(), responses::add);
        return await(responses);
    }

    /**
     * Asks another VM, of which all calls are answered, for the state of the submission.
     *
     * @return the status of the response
     */
    private int query() {
        List<CallerResponse> responses = new ArrayList<>();
        handler(FaultPlan.NO_FAULTS).queryState(request(), responses::add);
        return await(responses);
    }

    /**
     * Submits the submission to another VM.
     *
     * @param plan the faults of its calls to the store
     * @return the status of the response
     */
    private int submit(FaultPlan plan) {
        List<CallerResponse> responses = new ArrayList<>();
        startSubmit(plan, responses);
        return await(responses);
    }

    /**
     * Submits the submission to another VM without waiting.
     *
     * @param plan the faults of its calls to the store
     * @param responses receives the response
     */
    private void startSubmit(FaultPlan plan, List<CallerResponse> responses) {
        CellLayout layout = new CellLayout(Map.of("a", "north", "b", "north"), 2);
        StepSpec step =
                new StepSpec(
                        1,
                        new Resources(2_000, 2_000, 0),
                        100,
                        List.of(),
                        false,
                        false,
                        false,
                        "",
                        "",
                        0,
                        false,
                        false,
                        "",
                        0,
                        false,
                        0);
        new SubmissionAcceptor(
                        new FaultInjectingStoreClient(store, runtime, plan),
                        () -> layout,
                        "a",
                        service -> largestWorkers,
                        (cell, bytes) -> true,
                        1 << 20,
                        runtime,
                        (event, fields) -> {})
                .accept(request(), new Submission(ID, "", List.of(step), 0, 0, 0), responses::add);
    }

    /**
     * Returns a request for the submission.
     *
     * @return the request
     */
    private CallerRequest request() {
        return new CallerRequest(ID, route, 1, runtime.nowMillis() + PATIENCE_MILLIS);
    }

    /**
     * Waits for the response to a request, and asserts that there is exactly one.
     *
     * @param responses the responses
     * @return the status of the response
     */
    private int await(List<CallerResponse> responses) {
        for (int step = 0; responses.isEmpty() && step < PATIENCE_MILLIS; step++) {
            runtime.advance(1);
        }
        assertThat(responses.size(), equalTo(1));
        return responses.get(0).status();
    }
}
