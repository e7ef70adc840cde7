package org.damasktiller.verification.cell;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.LongFunction;
import org.damasktiller.authority.cell.Cancel;
import org.damasktiller.authority.cell.CellEvent;
import org.damasktiller.authority.cell.CellSettings;
import org.damasktiller.authority.cell.Drain;
import org.damasktiller.authority.cell.Evict;
import org.damasktiller.authority.cell.JobAnswer;
import org.damasktiller.authority.cell.JobRefusal;
import org.damasktiller.authority.cell.JobReply;
import org.damasktiller.authority.cell.JobState;
import org.damasktiller.authority.cell.JobStatus;
import org.damasktiller.authority.cell.JobSubmission;
import org.damasktiller.authority.cell.Query;
import org.damasktiller.authority.cell.Submit;
import org.damasktiller.error.ErrorCode;
import org.damasktiller.error.Outcome;
import org.damasktiller.identity.JobId;
import org.damasktiller.resource.Resources;
import org.damasktiller.standin.cell.CallFault;
import org.damasktiller.standin.cell.CellHarness;
import org.damasktiller.standin.cell.HarnessTimes;
import org.damasktiller.standin.cell.OwnerProcess;
import org.damasktiller.standin.worker.Run;
import org.damasktiller.standin.worker.RunEnd;
import org.damasktiller.table.Repeat;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class CellOwnerTest {

    private final CellHarness harness =
            new CellHarness(
                    CellSettings.DEFAULT, HarnessTimes.DEFAULT, (owner, call) -> CallFault.NONE);

    @BeforeEach
    void startOwner() {
        harness.addWorker("w1", new Resources(1000, 1000, 0));
        harness.addWorker("w2", new Resources(1000, 1000, 0));
        harness.addOwner("vm1");
        pass(2_000);
    }

    @Test
    void testJobIsAcceptedStartedAndCompletedOnce() {
        JobStatus accepted = accept(Submissions.of("k", Repeat.RESUMABLE, 600, 3_000));
        assertThat(accepted.state(), is(JobState.BOUND));
        assertThat(accept(Submissions.of("k", Repeat.RESUMABLE, 600, 3_000)), is(accepted));
        pass(4_000);
        assertThat(query(accepted.job()).state(), is(JobState.SUCCEEDED));
        assertThat(harness.observer().runsOf(accepted.job()), hasSize(1));
    }

    @Test
    void testStartAndRenewalWriteNothing() {
        for (int index = 0; index < 20; index++) {
            accept(Submissions.of("k" + index, Repeat.RESUMABLE, 500, 60_000));
        }
        pass(1_000);
        assertThat(harness.observer().starts(), is(4L));
        long revision = harness.store().revision();
        pass(20_000);
        assertThat(harness.store().revision(), is(revision));
    }

    @Test
    void testJobThatFitsNowhereIsRefusedAsNeverRunnable() {
        JobRefusal refusal = (JobRefusal) submit(Submissions.of("k", Repeat.IDEMPOTENT, 1_001, 10));
        assertThat(refusal.code(), is(ErrorCode.NEVER_RUNNABLE));
        assertThat(refusal.outcome(), is(Outcome.NOT_RUN));
    }

    @Test
    void testEvictedJobContinuesOnceFromItsCheckpoint() {
        JobStatus job = accept(Submissions.of("k", Repeat.RESUMABLE, 600, 10_000));
        pass(4_000);
        harness.deliver(owner(), new Evict(job.job()));
        pass(12_000);
        assertThat(query(job.job()).state(), is(JobState.SUCCEEDED));
        List<Run> runs = harness.observer().runsOf(job.job());
        assertThat(runs, hasSize(2));
        assertThat(runs.get(0).end(), is(RunEnd.STOPPED));
        assertThat(runs.get(1).startProgressMillis(), is(runs.get(0).endProgressMillis()));
        assertThat(runs.get(1).startProgressMillis(), greaterThan(3_000L));
        assertThat(harness.observer().violations(id -> false), empty());
    }

    @Test
    void testCancelBeforeStartWasNotRunAndCancelAfterStartStops() {
        JobStatus first = accept(Submissions.of("a", Repeat.RESUMABLE, 1000, 60_000));
        accept(Submissions.of("b", Repeat.RESUMABLE, 1000, 60_000));
        JobStatus waiting = accept(Submissions.of("c", Repeat.RESUMABLE, 1000, 60_000));
        pass(1_000);
        assertThat(cancel(waiting.job()).state(), is(JobState.CANCELLED_BEFORE_START));
        assertThat(cancel(first.job()).state(), is(JobState.CANCELLING));
        pass(1_000);
        assertThat(query(first.job()).state(), is(JobState.CANCELLED_AFTER_START));
        assertThat(harness.observer().runsOf(waiting.job()), empty());
    }

    @Test
    void testSuccessorFindsRunningJobsAndRestartsNothing() {
        JobStatus job = accept(Submissions.of("k", Repeat.RESUMABLE, 600, 30_000));
        pass(2_000);
        harness.addOwner("vm2");
        harness.crash(owner());
        pass(15_000);
        assertThat(query(job.job()).running(), is(true));
        pass(20_000);
        assertThat(query(job.job()).state(), is(JobState.SUCCEEDED));
        assertThat(harness.observer().runsOf(job.job()), hasSize(1));
    }

    @Test
    void testStoreOutageOfHoursRestartsNothingAndRefusesNewJobs() {
        JobStatus running = accept(Submissions.of("a", Repeat.RESUMABLE, 1000, 4 * 3_600_000L));
        JobStatus short1 = accept(Submissions.of("b", Repeat.RESUMABLE, 1000, 3_600_000L));
        JobStatus queued = accept(Submissions.of("c", Repeat.RESUMABLE, 1000, 3_600_000L));
        pass(2_000);
        harness.peers().storeDown(harness.clock().nowMillis() + 3 * 3_600_000L);
        pass(60_000);
        JobRefusal refusal = (JobRefusal) submit(Submissions.of("d", Repeat.RESUMABLE, 10, 10_000));
        assertThat(refusal.code(), is(ErrorCode.STORE_UNAVAILABLE));
        assertThat(refusal.outcome(), is(Outcome.NOT_RUN));
        pass(5 * 3_600_000L);
        assertThat(query(running.job()).state(), is(JobState.SUCCEEDED));
        assertThat(query(short1.job()).state(), is(JobState.SUCCEEDED));
        assertThat(query(queued.job()).state(), is(JobState.SUCCEEDED));
        assertThat(harness.observer().starts(), is(3L));
    }

    @Test
    void testDrainReleasesTheCellAtOnce() {
        JobStatus job = accept(Submissions.of("k", Repeat.RESUMABLE, 600, 30_000));
        harness.addOwner("vm2");
        harness.deliver(owner(), new Drain());
        pass(3_000);
        assertThat(owner().number(), is(1));
        assertThat(query(job.job()).running(), is(true));
    }

    private OwnerProcess owner() {
        return harness.active().orElseThrow();
    }

    private void pass(long millis) {
        harness.clock().run(harness.clock().nowMillis() + millis, () -> false);
    }

    private JobReply submit(JobSubmission submission) {
        return ask(id -> new Submit(id, submission));
    }

    private JobStatus accept(JobSubmission submission) {
        JobReply reply = submit(submission);
        assertThat(reply, instanceOf(JobAnswer.class));
        return ((JobAnswer) reply).status();
    }

    private JobStatus query(JobId job) {
        return ((JobAnswer) ask(id -> new Query(id, job))).status();
    }

    private JobStatus cancel(JobId job) {
        return ((JobAnswer) ask(id -> new Cancel(id, job))).status();
    }

    private JobReply ask(LongFunction<CellEvent> event) {
        List<JobReply> replies = new ArrayList<>();
        harness.ask(owner(), event, replies::add);
        harness.clock().run(harness.clock().nowMillis() + 10_000, () -> !replies.isEmpty());
        return Optional.of(replies).filter(found -> !found.isEmpty()).orElseThrow().get(0);
    }
}
