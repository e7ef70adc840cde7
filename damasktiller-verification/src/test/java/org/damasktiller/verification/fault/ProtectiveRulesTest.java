package org.damasktiller.verification.fault;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import org.damasktiller.authority.cell.CellAction;
import org.damasktiller.authority.cell.JobAnswer;
import org.damasktiller.authority.cell.JobStatus;
import org.damasktiller.authority.cell.JobSubmission;
import org.damasktiller.authority.cell.Submit;
import org.damasktiller.identity.KindName;
import org.damasktiller.identity.RequestKey;
import org.damasktiller.identity.TenantName;
import org.damasktiller.resource.Resources;
import org.damasktiller.standin.cell.CallFault;
import org.damasktiller.standin.cell.CellHarness;
import org.damasktiller.standin.cell.HarnessTimes;
import org.damasktiller.table.Repeat;
import org.damasktiller.table.WorkClass;
import org.damasktiller.worker.TaskSpec;
import org.junit.jupiter.api.Test;

/** Brings about the rare courses of events against which single rules protect. */
class ProtectiveRulesTest {

    private static final HarnessTimes TIMES =
            new HarnessTimes(100, 2, 1, 1_000, 25_000, 3_000, 8_000, 2_000);

    private String faultyStep = "";

    private int faultyOwner;

    private CallFault fault = CallFault.NONE;

    private final CellHarness harness =
            new CellHarness(CellScenario.SETTINGS, TIMES, this::faultAt);

    @Test
    void testOwnerWithoutStoreStopsBeforeItsSuccessorRestartsElsewhere() {
        JobStatus job = start(60_000);
        harness.addOwner("vm2");
        harness.peers().cutOff(0, "store", true);
        harness.peers().cutOff(1, job.worker().value(), true);
        pass(60_000);
        assertThat(harness.observer().violations(payload -> true), empty());
        assertThat(harness.observer().runsOf(job.job()), hasSize(2));
    }

    @Test
    void testTakerPausedBeforeItsHeadWriteDoesNotAct() {
        JobStatus job = start(90_000);
        harness.addOwner("vm2");
        harness.peers().cutOff(1, job.worker().value(), true);
        inject(1, "take-over", CallFault.PAUSE_BEFORE);
        harness.peers().cutOff(0, "store", true);
        pass(9_000);
        harness.peers().cutOff(0, "store", false);
        pass(60_000);
        assertThat(fault, is(CallFault.NONE));
        assertThat(harness.observer().violations(payload -> true), empty());
        assertThat(harness.observer().runsOf(job.job()), hasSize(1));
    }

    @Test
    void testLateSecondStartOfAcknowledgedAttemptRunsNothing() {
        inject(0, "start", CallFault.DUPLICATED_CALL);
        JobStatus job = start(200);
        pass(10_000);
        assertThat(fault, is(CallFault.NONE));
        assertThat(harness.observer().runsOf(job.job()), hasSize(1));
    }

    @Test
    void testStartOfPausedOwnerIsRefusedOnceItsPermitHasExpired() {
        inject(0, "start", CallFault.PAUSE_BEFORE);
        JobStatus job = start(60_000);
        harness.addOwner("vm2");
        harness.peers().cutOff(1, job.worker().value(), true);
        pass(80_000);
        assertThat(fault, is(CallFault.NONE));
        assertThat(harness.observer().violations(payload -> true), empty());
        assertThat(harness.observer().runsOf(job.job()), hasSize(1));
    }

    private JobStatus start(long runTimeMillis) {
        harness.addWorker("w1", new Resources(1000, 1000, 0));
        harness.addWorker("w2", new Resources(1000, 1000, 0));
        harness.addOwner("vm1");
        pass(3_000);
        TaskSpec task =
                new TaskSpec(
                        new KindName("kind"), new Resources(600, 100, 0), runTimeMillis, "key:x");
        JobSubmission submission =
                new JobSubmission(
                        new RequestKey("x"),
                        new TenantName("tenant"),
                        WorkClass.BATCH,
                        Repeat.IDEMPOTENT,
                        task);
        List<JobStatus> accepted = new ArrayList<>();
        harness.ask(
                harness.active().orElseThrow(),
                id -> new Submit(id, submission),
                reply -> accepted.add(((JobAnswer) reply).status()));
        pass(100);
        return accepted.get(0);
    }

    private void inject(int owner, String step, CallFault next) {
        faultyOwner = owner;
        faultyStep = step;
        fault = next;
    }

    private CallFault faultAt(int owner, CellAction call) {
        if (owner != faultyOwner || !StepNames.of(call).equals(faultyStep)) {
            return CallFault.NONE;
        }
        CallFault chosen = fault;
        fault = CallFault.NONE;
        return chosen;
    }

    private void pass(long millis) {
        harness.clock().run(harness.clock().nowMillis() + millis, () -> false);
    }
}
