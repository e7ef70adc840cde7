package org.damasktiller.decision.dispatch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Objects;
import java.util.SplittableRandom;
import org.damasktiller.decision.fairshare.AgingRule;
import org.damasktiller.decision.fairshare.PendingJob;
import org.damasktiller.decision.guard.GuardSettings;
import org.damasktiller.decision.health.HealthSettings;
import org.damasktiller.decision.health.WorkerStanding;
import org.damasktiller.decision.interference.HarmSettings;
import org.damasktiller.decision.placement.WorkerSpec;
import org.damasktiller.identity.JobId;
import org.damasktiller.identity.KindName;
import org.damasktiller.identity.RackName;
import org.damasktiller.identity.TenantName;
import org.damasktiller.identity.WorkerId;
import org.damasktiller.identity.ZoneName;
import org.damasktiller.resource.Resources;
import org.damasktiller.table.KindOfWork;
import org.damasktiller.table.Repeat;
import org.damasktiller.table.WorkClass;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class DispatcherTest {

    private static final Resources CAPACITY = new Resources(16_000, 60_000, 0);

    private static final Resources WHOLE = new Resources(16_000, 1000, 0);

    private static final KindName BULK = new KindName("bulk");

    private static final KindName URGENT = new KindName("urgent");

    private static final KindName SERVICE = new KindName("service");

    private static final DispatchSettings WITHOUT_EXPLORATION =
            new DispatchSettings(
                    true,
                    new HarmSettings(0.15, 0, 0.02, 0.1),
                    GuardSettings.ORDINARY,
                    HealthSettings.ORDINARY,
                    AgingRule.ORDINARY,
                    1.15,
                    24,
                    3);

    private final Dispatcher dispatcher =
            new Dispatcher(WITHOUT_EXPLORATION, new SplittableRandom(9));

    private int jobs;

    @BeforeEach
    void putKinds() {
        TenantName tenant = new TenantName("t");
        dispatcher.putKind(KindOfWork.builder(BULK, tenant).repeat(Repeat.RESUMABLE).build(), 0);
        dispatcher.putKind(
                KindOfWork.builder(URGENT, tenant).workClass(WorkClass.URGENT).build(), 0);
        dispatcher.putKind(
                KindOfWork.builder(SERVICE, tenant).workClass(WorkClass.INTERACTIVE).build(), 0);
    }

    @Test
    void testUrgentJobMakesRoomByThrottlingBatch() {
        addWorker(0);
        JobId bulk = submit(BULK, WHOLE);
        assertThat(dispatcher.round(0).size(), is(1));
        JobId urgent = submit(URGENT, new Resources(2000, 1000, 0));
        assertThat(
                dispatcher.round(10),
                contains(
                        new ResizeTask(bulk, worker(0), new Resources(13_920, 1000, 0)),
                        new StartTask(urgent, worker(0), new Resources(2000, 1000, 0))));
        dispatcher.onEnded(urgent, TaskResult.SUCCEEDED, 20);
        UsageReport report = new UsageReport(bulk, Resources.NONE, WHOLE, 0);
        assertThat(
                dispatcher.onUsage(report, 30), contains(new ResizeTask(bulk, worker(0), WHOLE)));
    }

    @Test
    void testImpossibleJobIsGivenUpWithTheReasonAndRunsOnceAWorkerIsAdded() {
        addWorker(0);
        Resources large = new Resources(17_000, 1000, 0);
        JobId id = new JobId("large");
        List<DispatchAction> actions = dispatcher.submit(new PendingJob(id, BULK, large, 0), 0);
        assertThat(actions, contains(instanceOf(GiveUpJob.class)));
        assertThat(dispatcher.round(0), is(empty()));
        dispatcher.addWorker(spec(1, new Resources(64_000, 250_000, 0)));
        assertThat(dispatcher.round(0), contains(new StartTask(id, worker(1), large)));
    }

    @Test
    void testPoisonedJobIsGivenUpAfterThreeWorkers() {
        for (int number = 0; number < 5; number++) {
            addWorker(number);
        }
        JobId id = submit(BULK, new Resources(1000, 1000, 0));
        for (int attempt = 0; attempt < 2; attempt++) {
            assertThat(dispatcher.round(0).size(), is(1));
            assertThat(dispatcher.onEnded(id, TaskResult.FAILED, 0), is(empty()));
        }
        assertThat(dispatcher.round(0).size(), is(1));
        assertThat(
                dispatcher.onEnded(id, TaskResult.FAILED, 0),
                contains(instanceOf(GiveUpJob.class)));
        assertThat(dispatcher.round(0), is(empty()));
    }

    @Test
    void testWorkerOnProbationGetsNoWorkAndOneJobInItsTrial() {
        for (int number = 0; number < 5; number++) {
            addWorker(number);
        }
        for (int each = 0; each < 3; each++) {
            PendingJob job = new PendingJob(new JobId("f" + each), BULK, Resources.NONE, 0);
            dispatcher.adopt(job, worker(0), new Resources(100, 100, 0), 0);
        }
        for (int each = 0; each < 3; each++) {
            dispatcher.onEnded(new JobId("f" + each), TaskResult.FAILED, 0);
            dispatcher.cancel(new JobId("f" + each));
        }
        assertThat(dispatcher.standing(worker(0)), is(WorkerStanding.PROBATION));
        assertThat(startsOnFirst(0), is(0));
        assertThat(startsOnFirst(60_000), is(1));
    }

    @Test
    void testDrainedWorkerGetsNoWorkAlsoAfterAResult() {
        addWorker(0);
        JobId first = submit(BULK, new Resources(1000, 1000, 0));
        dispatcher.round(0);
        dispatcher.drain(worker(0));
        dispatcher.onEnded(first, TaskResult.SUCCEEDED, 0);
        submit(BULK, new Resources(1000, 1000, 0));
        assertThat(dispatcher.round(0), is(empty()));
    }

    @Test
    void testGrowingServiceTakesRoomFromBatchWithinCapacity() {
        addWorker(0);
        Resources declared = new Resources(8000, 1000, 0);
        PendingJob service = new PendingJob(new JobId("s"), SERVICE, declared, 0);
        dispatcher.adopt(service, worker(0), new Resources(2000, 1000, 0), 0);
        JobId bulk = new JobId("bulk");
        Resources size = new Resources(14_000, 1000, 0);
        dispatcher.adopt(new PendingJob(bulk, BULK, size, 0), worker(0), size, 0);
        List<DispatchAction> actions =
                dispatcher.onService(
                        new ServiceReport(new JobId("s"), 5000, 10, 0, 10_000), 10_000);
        Resources grown = new Resources(6250, 1000, 0);
        assertThat(
                actions,
                contains(
                        new ResizeTask(bulk, worker(0), new Resources(9660, 1000, 0)),
                        new ResizeTask(new JobId("s"), worker(0), grown)));
    }

    @Test
    void testHarmfulJobThatHasWaitedLongStartsAtALowerSpeed() {
        addWorker(0);
        PendingJob service = new PendingJob(new JobId("s"), SERVICE, new Resources(4000, 1, 0), 0);
        dispatcher.adopt(service, worker(0), new Resources(2000, 1, 0), 0);
        Resources size = new Resources(14_000, 1000, 0);
        JobId harmful = submit(BULK, size);
        assertThat(dispatcher.round(0), is(empty()));
        assertThat(dispatcher.round(899_999), is(empty()));
        Resources slower = new Resources(7000, 1000, 0);
        assertThat(dispatcher.round(900_000), contains(new StartTask(harmful, worker(0), slower)));
    }

    @Test
    void testCancelledRunningJobIsStoppedAndNotRunAgain() {
        addWorker(0);
        JobId id = submit(BULK, WHOLE);
        dispatcher.round(0);
        assertThat(dispatcher.cancel(id), contains(new StopTask(id, worker(0))));
        dispatcher.onEnded(id, TaskResult.CANCELLED, 0);
        assertThat(dispatcher.round(0), is(empty()));
        assertThat(dispatcher.pending(), is(0));
    }

    @Test
    void testJobsOfARemovedWorkerAreNamedAndCanRunAgain() {
        addWorker(0);
        JobId id = submit(BULK, WHOLE);
        dispatcher.round(0);
        assertThat(dispatcher.removeWorker(worker(0), 0), contains(id));
        addWorker(1);
        dispatcher.submit(new PendingJob(id, BULK, WHOLE, 0), 0);
        assertThat(dispatcher.round(0), contains(new StartTask(id, worker(1), WHOLE)));
    }

    private int startsOnFirst(long nowMillis) {
        for (int each = 0; each < 40; each++) {
            submit(BULK, new Resources(2000, 1000, 0));
        }
        int starts = 0;
        for (DispatchAction action : dispatcher.round(nowMillis)) {
            StartTask start = (StartTask) Objects.requireNonNull(action);
            starts += start.worker().equals(worker(0)) ? 1 : 0;
        }
        return starts;
    }

    private JobId submit(KindName kind, Resources size) {
        JobId id = new JobId(kind + "-" + ++jobs);
        assertThat(dispatcher.submit(new PendingJob(id, kind, size, 0), 0), is(empty()));
        return id;
    }

    private void addWorker(int number) {
        dispatcher.addWorker(spec(number, CAPACITY));
    }

    private static WorkerSpec spec(int number, Resources capacity) {
        return new WorkerSpec(
                worker(number), new ZoneName("z"), new RackName("r" + number), capacity);
    }

    private static WorkerId worker(int number) {
        return new WorkerId("w" + number);
    }
}
