package org.damasktiller.standin.worker;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import java.util.List;
import org.damasktiller.identity.JobId;
import org.damasktiller.identity.KindName;
import org.damasktiller.identity.WorkerId;
import org.damasktiller.resource.Resources;
import org.damasktiller.worker.AcknowledgeCommand;
import org.damasktiller.worker.AttemptId;
import org.damasktiller.worker.Checkpoint;
import org.damasktiller.worker.FenceCommand;
import org.damasktiller.worker.Inventory;
import org.damasktiller.worker.Permit;
import org.damasktiller.worker.ProbeCommand;
import org.damasktiller.worker.RefusalReason;
import org.damasktiller.worker.RefusedAnswer;
import org.damasktiller.worker.RenewCommand;
import org.damasktiller.worker.ReportAnswer;
import org.damasktiller.worker.StartCommand;
import org.damasktiller.worker.StopCommand;
import org.damasktiller.worker.TaskSpec;
import org.damasktiller.worker.TaskStart;
import org.damasktiller.worker.WorkerAnswer;
import org.damasktiller.worker.WorkerCommand;
import org.damasktiller.worker.WorkerMapper;
import org.damasktiller.worker.WorkerStamp;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

class WorkerStateTest {

    private static final long LEASE_MILLIS = 1000;

    private static final AttemptId FIRST = new AttemptId(new JobId("a"), 1);

    private final WorkerObserver observer = new WorkerObserver();

    private final WorkerState worker =
            new WorkerState(new WorkerId("w"), new Resources(1000, 100, 0), observer);

    @Test
    void testFinishedTaskIsListedUntilAcknowledged() {
        fence(1, 0);
        worker.handle(start(permit(1, 0), FIRST, 500, null), 0);
        Inventory after = inventory(new RenewCommand(permit(1, 10), List.of(FIRST)), 600);
        assertThat(after.finished().get(0).attempt(), is(FIRST));
        worker.handle(start(permit(1, 600), FIRST, 500, null), 601);
        assertThat(observer.runsOf(FIRST.job()), hasSize(1));
        Inventory last = inventory(new AcknowledgeCommand(permit(1, 600), List.of(FIRST)), 610);
        assertThat(last, is(Inventory.EMPTY));
    }

    @Test
    void testLeaseExtendsFromStampNotFromArrival() {
        fence(1, 0);
        worker.handle(start(permit(1, 0), FIRST, 10_000, null), 900);
        worker.advance(1000);
        assertThat(worker.inventory().running(), empty());
        assertThat(worker.inventory().stopped().get(0).checkpoint(), is(new Checkpoint("100")));
    }

    @Test
    void testLowerGenerationAndExpiredPermitAreRefused() {
        fence(2, 0);
        assertThat(
                refusal(start(permit(1, 0), FIRST, 10, null), 1),
                is(RefusalReason.LOWER_GENERATION));
        assertThat(
                refusal(start(permit(2, 0), FIRST, 10, null), LEASE_MILLIS),
                is(RefusalReason.EXPIRED_PERMIT));
        assertThat(refusal(start(permit(3, 0), FIRST, 10, null), 1), is(RefusalReason.NOT_FENCED));
        worker.restart(2);
        assertThat(
                refusal(start(permit(2, 0), FIRST, 10, null), 3),
                is(RefusalReason.OTHER_INCARNATION));
        assertThat(observer.starts(), is(0L));
    }

    @Test
    void testCheckpointContinuesAndObserverSeesNoRepetition() {
        fence(1, 0);
        worker.handle(start(permit(1, 0), FIRST, 800, null), 0);
        Inventory stopped = inventory(new StopCommand(permit(1, 0), List.of(FIRST), true), 300);
        Checkpoint checkpoint = stopped.stopped().get(0).checkpoint();
        AttemptId second = new AttemptId(FIRST.job(), 2);
        worker.handle(start(permit(1, 300), second, 800, checkpoint), 400);
        worker.advance(900);
        assertThat(worker.inventory().finished().get(0).attempt(), is(second));
        assertThat(observer.violations(job -> false), empty());
    }

    @Test
    void testObserverReportsOvercommitAndRepetition() {
        fence(1, 0);
        worker.handle(start(permit(1, 0), FIRST, 800, null), 0);
        worker.handle(start(permit(1, 0), new AttemptId(new JobId("b"), 1), 1, null), 0);
        worker.handle(new StopCommand(permit(1, 0), List.of(FIRST), true), 300);
        worker.handle(start(permit(1, 0), new AttemptId(FIRST.job(), 2), 800, null), 400);
        assertThat(
                observer.violations(job -> false).stream().map(Violation::kind).toList(),
                contains(ViolationKind.OVERCOMMIT, ViolationKind.PART_REPEATED));
    }

    @Test
    void testObserverReportsTwoPlaces() {
        WorkerState other =
                new WorkerState(new WorkerId("x"), new Resources(1000, 100, 0), observer);
        fence(1, 0);
        Permit elsewhere = new Permit(1, new WorkerStamp("x/1", 0), LEASE_MILLIS);
        other.handle(new FenceCommand(elsewhere), 0);
        worker.handle(start(permit(1, 0), FIRST, 800, null), 0);
        other.handle(start(elsewhere, FIRST, 800, null), 100);
        assertThat(
                observer.violations(job -> true).stream().map(Violation::kind).toList(),
                contains(ViolationKind.ATTEMPT_STARTED_TWICE, ViolationKind.TWO_PLACES));
    }

    @Test
    void testCommandsAndAnswersSurviveJson() throws Exception {
        WorkerCommand command = start(permit(1, 0), FIRST, 800, new Checkpoint("5"));
        String text = WorkerMapper.json().writeValueAsString(command);
        assertThat(WorkerMapper.json().readValue(text, WorkerCommand.class), is(command));
        WorkerAnswer answer = fence(1, 0);
        String answerText = WorkerMapper.json().writeValueAsString(answer);
        assertThat(WorkerMapper.json().readValue(answerText, WorkerAnswer.class), is(answer));
        WorkerCommand probe = new ProbeCommand();
        String probeText = WorkerMapper.json().writeValueAsString(probe);
        assertThat(WorkerMapper.json().readValue(probeText, WorkerCommand.class), is(probe));
    }

    private WorkerAnswer fence(long generation, long now) {
        return worker.handle(new FenceCommand(permit(generation, now)), now);
    }

    private Inventory inventory(WorkerCommand command, long now) {
        WorkerAnswer answer = worker.handle(command, now);
        assertThat(answer, instanceOf(ReportAnswer.class));
        return ((ReportAnswer) answer).inventory();
    }

    private RefusalReason refusal(WorkerCommand command, long now) {
        return ((RefusedAnswer) worker.handle(command, now)).reason();
    }

    private static Permit permit(long generation, long stampMillis) {
        return new Permit(generation, new WorkerStamp("w/1", stampMillis), LEASE_MILLIS);
    }

    private static StartCommand start(
            Permit permit, AttemptId attempt, long runTime, @Nullable Checkpoint checkpoint) {
        TaskSpec task = new TaskSpec(new KindName("kind"), new Resources(600, 10, 0), runTime, "");
        return new StartCommand(permit, List.of(new TaskStart(attempt, task, checkpoint)));
    }
}
