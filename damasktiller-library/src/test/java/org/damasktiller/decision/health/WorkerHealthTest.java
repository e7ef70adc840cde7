package org.damasktiller.decision.health;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.util.List;
import org.damasktiller.identity.JobId;
import org.damasktiller.identity.KindName;
import org.damasktiller.identity.WorkerId;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class WorkerHealthTest {

    private static final KindName KIND = new KindName("plan");

    private static final WorkerId BAD = new WorkerId("w0");

    private final WorkerHealth health = new WorkerHealth(HealthSettings.ORDINARY);

    private int jobs;

    @BeforeEach
    void addWorkers() {
        for (int worker = 0; worker < 10; worker++) {
            health.addWorker(new WorkerId("w" + worker));
        }
    }

    @Test
    void testDifferentFailingJobsLeadToProbation() {
        fail(BAD, 2);
        assertThat(health.standing(BAD), is(WorkerStanding.GOOD));
        fail(BAD, 1);
        assertThat(health.standing(BAD), is(WorkerStanding.PROBATION));
    }

    @Test
    void testSameFailingJobIsNotTheWorkersFault() {
        for (int each = 0; each < 10; each++) {
            health.onResult(BAD, new JobId("same"), KIND, true, 0);
        }
        assertThat(health.standing(BAD), is(WorkerStanding.GOOD));
    }

    @Test
    void testWorkerIsReadmittedAfterSuccessesInItsTrial() {
        fail(BAD, 3);
        assertThat(health.onTime(59_999), is(empty()));
        assertThat(health.onTime(60_000), is(List.of(BAD)));
        assertThat(health.standing(BAD), is(WorkerStanding.TRIAL));
        succeed(BAD);
        assertThat(health.standing(BAD), is(WorkerStanding.TRIAL));
        succeed(BAD);
        assertThat(health.standing(BAD), is(WorkerStanding.GOOD));
    }

    @Test
    void testFailedTrialDoublesTheProbation() {
        fail(BAD, 3);
        health.onTime(60_000);
        health.onResult(BAD, new JobId("trial"), KIND, true, 60_000);
        assertThat(health.standing(BAD), is(WorkerStanding.PROBATION));
        assertThat(health.onTime(179_999), is(empty()));
        assertThat(health.onTime(180_000), is(List.of(BAD)));
    }

    @Test
    void testKindThatFailsEverywhereIsNotTheWorkersFault() {
        KindName broken = new KindName("broken");
        for (int each = 0; each < 100; each++) {
            WorkerId worker = new WorkerId("w" + each % 10);
            health.onResult(worker, new JobId("b" + each), broken, true, 0);
            health.onResult(worker, new JobId("g" + each), KIND, false, 0);
        }
        for (int each = 0; each < 5; each++) {
            health.onResult(BAD, new JobId("c" + each), broken, true, 0);
        }
        assertThat(health.standing(BAD), is(WorkerStanding.GOOD));
    }

    @Test
    void testCommonCauseLeavesMostWorkersInService() {
        for (int worker = 0; worker < 10; worker++) {
            fail(new WorkerId("w" + worker), 3);
        }
        long good = 0;
        for (int worker = 0; worker < 10; worker++) {
            WorkerStanding standing = health.standing(new WorkerId("w" + worker));
            good += standing == WorkerStanding.GOOD ? 1 : 0;
        }
        assertThat(good, is(8L));
    }

    @Test
    void testJobFailingOnGoodWorkersIsPoisonedButNotByBadOnes() {
        PoisonedJobs poisoned = new PoisonedJobs(3, health);
        JobId job = new JobId("poison");
        fail(BAD, 3);
        assertThat(poisoned.onFailure(job, BAD), is(false));
        assertThat(poisoned.onFailure(job, new WorkerId("w1")), is(false));
        assertThat(poisoned.onFailure(job, new WorkerId("w1")), is(false));
        assertThat(poisoned.onFailure(job, new WorkerId("w2")), is(false));
        assertThat(poisoned.onFailure(job, new WorkerId("w3")), is(true));
        assertThat(poisoned.failedOn(job, BAD), is(true));
    }

    private void fail(WorkerId worker, int count) {
        for (int each = 0; each < count; each++) {
            health.onResult(worker, new JobId("f" + ++jobs), KIND, true, 0);
        }
    }

    private void succeed(WorkerId worker) {
        health.onResult(worker, new JobId("s" + ++jobs), KIND, false, 0);
    }
}
