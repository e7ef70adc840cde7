package org.damasktiller.verification.cell;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.damasktiller.authority.cell.CellAction;
import org.damasktiller.authority.cell.CellSettings;
import org.damasktiller.authority.cell.JobAnswer;
import org.damasktiller.authority.cell.JobSubmission;
import org.damasktiller.authority.cell.StartRule;
import org.damasktiller.authority.cell.Submit;
import org.damasktiller.authority.cell.WorkerRequest;
import org.damasktiller.identity.JobId;
import org.damasktiller.identity.KindName;
import org.damasktiller.identity.RequestKey;
import org.damasktiller.identity.TenantName;
import org.damasktiller.identity.WorkerId;
import org.damasktiller.resource.Resources;
import org.damasktiller.standin.cell.CallFault;
import org.damasktiller.standin.cell.CellHarness;
import org.damasktiller.standin.cell.HarnessTimes;
import org.damasktiller.standin.cell.OwnerProcess;
import org.damasktiller.standin.worker.Run;
import org.damasktiller.table.Repeat;
import org.damasktiller.table.WorkClass;
import org.damasktiller.worker.TaskSpec;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Reads back from the workers what weights and limits of the table ask for. */
class StartPolicyTest {

    private static final long RUN_MILLIS = 1_000;
    private static final int WORKERS = 4;

    private final Set<WorkerId> cutFromSuccessor = new HashSet<>();
    private final CellHarness harness =
            new CellHarness(CellSettings.DEFAULT, HarnessTimes.DEFAULT, this::fault);
    private final Map<KindName, StartRule> rules = new HashMap<>();
    private final Map<String, List<JobId>> jobs = new HashMap<>();

    @BeforeEach
    void startCell() {
        harness.setStartPolicy(
                submission -> rules.getOrDefault(submission.task().kind(), StartRule.EVEN));
        for (int index = 0; index < WORKERS; index++) {
            harness.addWorker("worker-" + index, new Resources(8_000, 80_000, 0));
        }
        harness.addOwner("entry-1");
        pass(3_000);
    }

    @Test
    void testRunningTimeFollowsTheWeights() {
        rules.put(new KindName("heavy"), rule(3));
        rules.put(new KindName("light"), rule(1));
        for (int index = 0; index < 400; index++) {
            submit("light", "team-1", index);
            submit("heavy", "team-2", index);
        }
        long from = harness.clock().nowMillis() + 2_000;
        pass(12_000);
        long until = harness.clock().nowMillis() - 1_000;
        double heavy = runningMillis("heavy", from, until);
        double light = runningMillis("light", from, until);
        assertThat(heavy / (heavy + light), closeTo(0.75, 0.05));
        assertThat(harness.observer().violations(job -> false), empty());
    }

    @Test
    void testNeverMoreThanTheLimitRun() {
        rules.put(new KindName("limited"), new StartRule(1, 3, StartRule.NO_LIMIT));
        for (int index = 0; index < 30; index++) {
            submit("limited", "team-1", index);
        }
        pass(30_000);
        assertThat(mostAtOnce(jobs.get("limited")), is(3));
    }

    @Test
    void testNeverMoreThanTheQuotaOfTheTenantRun() {
        rules.put(new KindName("first"), new StartRule(1, StartRule.NO_LIMIT, 5));
        rules.put(new KindName("second"), new StartRule(1, StartRule.NO_LIMIT, 5));
        for (int index = 0; index < 20; index++) {
            submit("first", "team-1", index);
            submit("second", "team-1", index);
        }
        pass(30_000);
        List<JobId> all = new ArrayList<>(jobs.get("first"));
        all.addAll(jobs.get("second"));
        assertThat(mostAtOnce(all), is(5));
    }

    @Test
    void testLimitHoldsWhileTheSuccessorCanNotReachTheWorkers() {
        rules.put(new KindName("limited"), new StartRule(1, 3, StartRule.NO_LIMIT));
        for (int index = 0; index < 64; index++) {
            submit("limited", "team-1", index, 60_000);
        }
        pass(2_000);
        for (JobId job : jobs.get("limited")) {
            harness.observer().runsOf(job).forEach(run -> cutFromSuccessor.add(run.worker()));
        }
        assertThat(cutFromSuccessor.size(), lessThan(WORKERS));
        OwnerProcess first = harness.active().orElseThrow();
        harness.addOwner("entry-2");
        pass(1_500);
        harness.crash(first);
        pass(15_000);
        assertThat(mostAtOnce(jobs.get("limited")), is(3));
        assertThat(harness.active().isPresent(), is(true));
    }

    private static StartRule rule(int weight) {
        return new StartRule(weight, StartRule.NO_LIMIT, StartRule.NO_LIMIT);
    }

    private CallFault fault(int owner, CellAction call) {
        boolean lost =
                owner > 0
                        && call instanceof WorkerRequest request
                        && cutFromSuccessor.contains(request.worker());
        return lost ? CallFault.LOST_CALL : CallFault.NONE;
    }

    private void submit(String kind, String tenant, int index) {
        submit(kind, tenant, index, RUN_MILLIS);
    }

    private void submit(String kind, String tenant, int index, long runMillis) {
        JobSubmission submission =
                new JobSubmission(
                        new RequestKey(kind + "-" + index),
                        new TenantName(tenant),
                        WorkClass.BATCH,
                        Repeat.RESUMABLE,
                        new TaskSpec(
                                new KindName(kind), new Resources(1_000, 100, 0), runMillis, ""));
        harness.ask(
                harness.active().orElseThrow(),
                id -> new Submit(id, submission),
                reply ->
                        jobs.computeIfAbsent(kind, any -> new ArrayList<>())
                                .add(((JobAnswer) reply).status().job()));
    }

    private double runningMillis(String kind, long from, long until) {
        long sum = 0;
        for (JobId job : jobs.get(kind)) {
            for (Run run : harness.observer().runsOf(job)) {
                long begin = Math.max(from, run.startMillis());
                long end = Math.min(until, run.endMillis());
                sum += Math.max(0, end - begin);
            }
        }
        return sum;
    }

    private int mostAtOnce(List<JobId> ids) {
        List<Run> runs = new ArrayList<>();
        ids.forEach(job -> runs.addAll(harness.observer().runsOf(job)));
        int most = 0;
        for (Run run : runs) {
            long moment = run.startMillis();
            int running =
                    (int)
                            runs.stream()
                                    .filter(
                                            other ->
                                                    other.startMillis() <= moment
                                                            && moment < other.endMillis())
                                    .count();
            most = Math.max(most, running);
        }
        return most;
    }

    private void pass(long millis) {
        harness.clock().run(harness.clock().nowMillis() + millis, () -> false);
    }
}
