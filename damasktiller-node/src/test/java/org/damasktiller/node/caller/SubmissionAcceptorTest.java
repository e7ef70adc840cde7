package org.damasktiller.node.caller;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.notNullValue;
import static org.hamcrest.Matchers.nullValue;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import org.damasktiller.scheduler.cell.CellKeys;
import org.damasktiller.scheduler.cell.CellLayout;
import org.damasktiller.scheduler.model.Resources;
import org.damasktiller.scheduler.model.Route;
import org.damasktiller.scheduler.model.StepSpec;
import org.damasktiller.scheduler.model.Submission;
import org.damasktiller.standin.metadata.CallFault;
import org.damasktiller.standin.metadata.FaultInjectingStoreClient;
import org.damasktiller.standin.metadata.InMemoryStore;
import org.damasktiller.standin.time.VirtualTimeRuntime;
import org.junit.jupiter.api.Test;

/** Tests what a caller is told of a submission when the store fails. */
final class SubmissionAcceptorTest {

    /** A submission's identifier. */
    private static final String ID = "00000000000000a1";

    /** The clock. */
    private final VirtualTimeRuntime runtime = new VirtualTimeRuntime();

    /** The store. */
    private final InMemoryStore store = new InMemoryStore(runtime);

    /** The answers. */
    private final List<CallerAnswer> answers = new ArrayList<>();

    /** When the answer came, in milliseconds. */
    private long answeredAtMillis;

    @Test
    void storedSubmissionIsAccepted() {
        submit(List.of());
        assertThat(status(), equalTo(200));
        assertThat(store.value(CellKeys.inbox("service") + ID), notNullValue());
    }

    @Test
    void repeatedSubmissionFindsTheFirst() {
        submit(List.of());
        submit(List.of());
        assertThat(status(), equalTo(200));
    }

    @Test
    void lostAnswerIsSettledByTheSecondWrite() {
        submit(List.of(CallFault.ANSWER_LOST));
        assertThat(status(), equalTo(200));
    }

    @Test
    void refusedSubmissionIsCertainlyNotStored() {
        submit(repeat(CallFault.REFUSED));
        assertThat(status(), equalTo(503));
        runtime.advance(20_000);
        assertThat(store.value(CellKeys.submission(ID)), nullValue());
    }

    @Test
    void refusalsAfterAnUnansweredWriteLeaveTheOutcomeUnknown() {
        List<CallFault> fates = new ArrayList<>(repeat(CallFault.REFUSED));
        fates.set(0, CallFault.LATE);
        submit(fates);
        assertThat(status(), equalTo(504));
        runtime.advance(20_000);
        assertThat(store.value(CellKeys.submission(ID)), notNullValue());
    }

    @Test
    void silentStoreIsNotWaitedForUntilTheDeadline() {
        submit(repeat(CallFault.LOST));
        assertThat(status(), equalTo(504));
        assertThat(answeredAtMillis, lessThan(1_700L));
    }

    /**
     * Hands in a submission.
     *
     * @param fates what becomes of the first calls to the store
     */
    private void submit(List<CallFault> fates) {
        Iterator<CallFault> next = fates.iterator();
        FaultInjectingStoreClient client =
                new FaultInjectingStoreClient(
                        store, runtime, call -> next.hasNext() ? next.next() : CallFault.ANSWERED);
        SubmissionAcceptor acceptor =
                new SubmissionAcceptor(
                        client,
                        new CellLayout(List.of("a", "b")),
                        "a",
                        runtime,
                        (event, fields) -> {});
        Route route = new Route("route", "host", "/", "service", 0, 2, 2, 600, false);
        StepSpec step =
                new StepSpec(
                        1,
                        Resources.NONE,
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
        answers.clear();
        acceptor.accept(
                new CallerRequest(ID, route, 1, runtime.nowMillis() + 3_000),
                new Submission(ID, "", List.of(step), 0, 0, 0),
                answer -> {
                    answers.add(answer);
                    answeredAtMillis = runtime.nowMillis();
                });
        runtime.advance(4_000);
    }

    /**
     * Returns the status of the one answer.
     *
     * @return the status
     */
    private int status() {
        assertThat(answers.size(), equalTo(1));
        return answers.get(0).status();
    }

    /**
     * Makes a list of one fate.
     *
     * @param fate the fate
     * @return the list
     */
    private static List<CallFault> repeat(CallFault fate) {
        List<CallFault> fates = new ArrayList<>();
        for (int call = 0; call < 60; call++) {
            fates.add(fate);
        }
        return fates;
    }
}
