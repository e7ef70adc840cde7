package org.damasktiller.daemon.cell;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import io.activej.common.time.CurrentTimeProvider;
import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.damasktiller.authority.cell.BestFitPlacement;
import org.damasktiller.authority.cell.CellOwner;
import org.damasktiller.authority.cell.CellSettings;
import org.damasktiller.authority.cell.CellWorker;
import org.damasktiller.authority.cell.JobAnswer;
import org.damasktiller.authority.cell.JobRefusal;
import org.damasktiller.authority.cell.JobReply;
import org.damasktiller.authority.cell.JobSubmission;
import org.damasktiller.authority.ownership.OwnerIdentity;
import org.damasktiller.daemon.drive.OwnerEnvironment;
import org.damasktiller.error.ErrorCode;
import org.damasktiller.error.Outcome;
import org.damasktiller.identity.CellId;
import org.damasktiller.identity.JobId;
import org.damasktiller.identity.KindName;
import org.damasktiller.identity.RequestKey;
import org.damasktiller.identity.TenantName;
import org.damasktiller.identity.VmId;
import org.damasktiller.identity.WorkerId;
import org.damasktiller.platform.http.EventLoops;
import org.damasktiller.resource.Resources;
import org.damasktiller.standin.store.StoreService;
import org.damasktiller.standin.store.StoreState;
import org.damasktiller.standin.worker.WorkerObserver;
import org.damasktiller.standin.worker.WorkerState;
import org.damasktiller.table.KindOfWork;
import org.damasktiller.vm.VmState;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class CellDriverTest {

    private static final WorkerId WORKER = new WorkerId("worker-1");
    private static final KindOfWork KIND =
            KindOfWork.builder(new KindName("forecast"), new TenantName("planning"))
                    .declared(new Resources(1_000, 100, 0))
                    .runTimeMillis(3_600_000)
                    .build();

    private final CurrentTimeProvider clock = CurrentTimeProvider.ofSystem();
    private final ExecutorService pool = Executors.newFixedThreadPool(2);
    private final WorkerState worker =
            new WorkerState(WORKER, new Resources(4_000, 4_000, 0), new WorkerObserver());
    private Eventloop eventloop;
    private CellDriver driver;

    @BeforeEach
    void startDriver() {
        eventloop = EventLoops.start("driver");
        StoreService store = new StoreService(eventloop, new StoreState());
        OwnerEnvironment environment =
                new OwnerEnvironment(
                        eventloop,
                        pool,
                        clock,
                        store,
                        (name, command) ->
                                Promise.of(worker.handle(command, clock.currentTimeMillis())));
        CellOwner owner =
                new CellOwner(
                        CellSettings.DEFAULT,
                        new CellId("leinster-1.0"),
                        new OwnerIdentity(new VmId("127.0.0.1:1"), "process"),
                        new BestFitPlacement());
        driver = new CellDriver(owner, environment, change -> {});
        eventloop.execute(driver::start);
        eventloop.execute(() -> driver.listWorkers(List.of(new CellWorker(WORKER, VmState.LIVE))));
    }

    @AfterEach
    void stopDriver() {
        eventloop.execute(driver::stop);
        eventloop.execute(eventloop::breakEventloop);
        pool.shutdown();
    }

    @Test
    void testSameKeyGivesSameJob() {
        JobId job = acceptedJob();
        JobReply again = submit();
        assertThat(((JobAnswer) again).status().job(), is(job));
    }

    @Test
    void testCallAfterDrainIsAnswered() {
        JobId job = acceptedJob();
        eventloop.submit(() -> driver.drain()).join();
        JobReply reply = eventloop.submit(() -> driver.query(job)).join();
        assertThat(reply, instanceOf(JobRefusal.class));
        assertThat(((JobRefusal) reply).outcome(), is(Outcome.OUTCOME_UNKNOWN));
        JobReply submission = submit();
        assertThat(submission, instanceOf(JobRefusal.class));
        assertThat(((JobRefusal) submission).outcome(), is(Outcome.NOT_RUN));
    }

    private JobId acceptedJob() {
        JobReply reply = submit();
        while (reply instanceof JobRefusal refusal) {
            assertThat(
                    refusal.code() == ErrorCode.NOT_OWNER || refusal.code() == ErrorCode.OVERLOADED,
                    is(true));
            reply = submit();
        }
        return ((JobAnswer) reply).status().job();
    }

    private JobReply submit() {
        JobSubmission submission = JobSubmission.of(new RequestKey("key"), KIND, "");
        return eventloop.submit(() -> driver.submit(submission)).join();
    }
}
