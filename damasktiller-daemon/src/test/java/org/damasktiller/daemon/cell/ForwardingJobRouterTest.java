package org.damasktiller.daemon.cell;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.activej.common.time.CurrentTimeProvider;
import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.damasktiller.authority.cell.CellSettings;
import org.damasktiller.authority.cell.JobReply;
import org.damasktiller.authority.cell.JobSubmission;
import org.damasktiller.authority.layout.CellLayout;
import org.damasktiller.authority.ownership.OwnerIdentity;
import org.damasktiller.daemon.drive.OwnerEnvironment;
import org.damasktiller.error.DamasktillerException;
import org.damasktiller.error.ErrorCode;
import org.damasktiller.error.Outcome;
import org.damasktiller.error.Step;
import org.damasktiller.identity.CellId;
import org.damasktiller.identity.JobId;
import org.damasktiller.identity.KindName;
import org.damasktiller.identity.RackName;
import org.damasktiller.identity.RequestKey;
import org.damasktiller.identity.TenantName;
import org.damasktiller.identity.VmId;
import org.damasktiller.identity.ZoneName;
import org.damasktiller.platform.http.EventLoops;
import org.damasktiller.standin.store.StoreService;
import org.damasktiller.standin.store.StoreState;
import org.damasktiller.table.KindOfWork;
import org.damasktiller.table.OperatorTable;
import org.damasktiller.vm.FleetView;
import org.damasktiller.vm.VmRecord;
import org.damasktiller.vm.VmRole;
import org.damasktiller.vm.VmState;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class ForwardingJobRouterTest {

    private static final ZoneName HERE = new ZoneName("leinster-1");
    private static final ZoneName ELSEWHERE = new ZoneName("connacht-1");
    private static final VmId SELF = new VmId("127.0.0.1:1");
    private static final JobSubmission SUBMISSION =
            JobSubmission.of(
                    new RequestKey("key"),
                    KindOfWork.builder(new KindName("forecast"), new TenantName("planning"))
                            .build(),
                    "");

    private final ExecutorService pool = Executors.newSingleThreadExecutor();
    private final CellLayout layout = new CellLayout(List.of(HERE, ELSEWHERE), 1);
    private final List<String> asked = new ArrayList<>();
    private final List<DamasktillerException> answers = new ArrayList<>();
    private Eventloop eventloop;
    private ForwardingJobRouter router;

    @BeforeEach
    void createRouter() {
        eventloop = EventLoops.start("router");
        OwnerEnvironment environment =
                new OwnerEnvironment(
                        eventloop,
                        pool,
                        CurrentTimeProvider.ofSystem(),
                        new StoreService(eventloop, new StoreState()),
                        (worker, command) -> Promise.ofException(new IllegalStateException()));
        CellHost host =
                new CellHost(
                        layout,
                        HERE,
                        new OwnerIdentity(SELF, "process"),
                        () -> OperatorTable.EMPTY,
                        CellSettings.DEFAULT,
                        environment);
        FleetView fleet = new FleetView(List.of(entry("a"), entry("b"), entry("c")));
        router = new ForwardingJobRouter(host, layout, () -> fleet, SELF.value(), new Peers());
    }

    @AfterEach
    void stop() {
        eventloop.execute(eventloop::breakEventloop);
        pool.shutdown();
    }

    @Test
    void testNextPeerIsAskedWhereOneDoesNotOwnTheCell() {
        answers.add(error(ErrorCode.NOT_OWNER, Outcome.NOT_RUN));
        answers.add(error(ErrorCode.QUOTA_EXCEEDED, Outcome.NOT_RUN));
        DamasktillerException failure = submit();
        assertThat(asked, is(List.of("a", "b")));
        assertThat(failure.code(), is(ErrorCode.QUOTA_EXCEEDED));
        assertThat(failure.outcome(), is(Outcome.NOT_RUN));
    }

    @Test
    void testUnknownOutcomeOfAnEarlierPeerIsKept() {
        answers.add(error(ErrorCode.NOT_OWNER, Outcome.OUTCOME_UNKNOWN));
        answers.add(error(ErrorCode.OVERLOADED, Outcome.NOT_RUN));
        DamasktillerException failure = submit();
        assertThat(asked, is(List.of("a", "b")));
        assertThat(failure.code(), is(ErrorCode.OVERLOADED));
        assertThat(failure.outcome(), is(Outcome.OUTCOME_UNKNOWN));
    }

    @Test
    void testNobodyIsAskedAfterAnUnansweredCall() {
        answers.add(error(ErrorCode.DEADLINE_EXCEEDED, Outcome.OUTCOME_UNKNOWN));
        DamasktillerException failure = submit();
        assertThat(asked, is(List.of("a")));
        assertThat(failure.outcome(), is(Outcome.OUTCOME_UNKNOWN));
    }

    private DamasktillerException submit() {
        CellId cell = layout.cellsOf(ELSEWHERE).get(0);
        Exception failure =
                eventloop
                        .submit(
                                () ->
                                        router.submit(cell, SUBMISSION, false)
                                                .map(
                                                        reply -> new IllegalStateException(),
                                                        exception -> exception))
                        .join();
        return (DamasktillerException) failure;
    }

    private static DamasktillerException error(ErrorCode code, Outcome outcome) {
        return new DamasktillerException(code, Step.ADMIT, "peer", outcome, "refused");
    }

    private static VmRecord entry(String name) {
        return new VmRecord(
                name, "127.0.0.1:1", ELSEWHERE, new RackName("rack"), VmRole.ENTRY, VmState.LIVE);
    }

    private final class Peers implements JobPeers {

        @Override
        public Promise<JobReply> submit(VmRecord peer, JobSubmission submission) {
            asked.add(peer.name());
            return Promise.ofException(answers.remove(0));
        }

        @Override
        public Promise<JobReply> query(VmRecord peer, JobId job) {
            return Promise.ofException(answers.remove(0));
        }

        @Override
        public Promise<JobReply> cancel(VmRecord peer, JobId job) {
            return Promise.ofException(answers.remove(0));
        }
    }
}
