package org.damasktiller.verification.fault;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import org.damasktiller.authority.cell.CellEvent;
import org.damasktiller.authority.cell.CellSettings;
import org.damasktiller.authority.cell.Drain;
import org.damasktiller.authority.cell.Evict;
import org.damasktiller.authority.cell.JobStatus;
import org.damasktiller.authority.cell.JobSubmission;
import org.damasktiller.authority.cell.Throttle;
import org.damasktiller.authority.commit.CommitSettings;
import org.damasktiller.authority.ownership.OwnershipSettings;
import org.damasktiller.identity.KindName;
import org.damasktiller.identity.RequestKey;
import org.damasktiller.identity.TenantName;
import org.damasktiller.resource.Resources;
import org.damasktiller.standin.cell.CellHarness;
import org.damasktiller.standin.cell.FaultInjector;
import org.damasktiller.standin.cell.HarnessTimes;
import org.damasktiller.table.Repeat;
import org.damasktiller.table.WorkClass;
import org.damasktiller.worker.TaskSpec;

/**
 * Runs the lives of a dozen jobs on two workers under two owners: accept, bind, start, complete,
 * evict and resume, cancel before and after the start, fail, and a drain in the middle.
 */
final class CellScenario {

    static final CellSettings SETTINGS =
            new CellSettings(
                    new OwnershipSettings(3_000, 1_000, 500, 0, 12_000, 5_000, 500),
                    new CommitSettings(20, 20, 256, 2_048, 100, 1_000),
                    1_500,
                    1_000,
                    3_000,
                    3_000,
                    3_600_000,
                    1_000,
                    3);

    private static final long LIMIT_MILLIS = 240_000;

    private static final int CAPACITY = 1_000;

    private static final int HALF_SPEED_PERCENT = 50;

    private static final long QUIET_MILLIS = 8_000;

    private final CellHarness harness;

    private final List<SimulatedCaller> callers = new ArrayList<>();

    CellScenario(FaultInjector faults, HarnessTimes times) {
        harness = new CellHarness(SETTINGS, times, faults);
        harness.addWorker("w1", new Resources(CAPACITY, 1000, 1));
        harness.addWorker("w2", new Resources(CAPACITY, 1000, 1));
        harness.addOwner("vm1");
        harness.addOwner("vm2");
    }

    CellHarness harness() {
        return harness;
    }

    List<SimulatedCaller> callers() {
        return callers;
    }

    /** Runs to the end and returns the broken rules. */
    List<String> run() {
        addLives();
        harness.clock().after(9_000, this::drain);
        long start = harness.clock().nowMillis();
        harness.clock().run(start + 14_000, () -> false);
        harness.clock().run(start + LIMIT_MILLIS, this::allDone);
        harness.clock().run(harness.clock().nowMillis() + QUIET_MILLIS, () -> false);
        return new CellRules(harness, callers).broken();
    }

    private void addLives() {
        evictAfter(add("a", Repeat.RESUMABLE, 600, 6_000, 100), 4_000);
        SimulatedCaller twice = add("b", Repeat.RESUMABLE, 600, 7_000, 100);
        evictAfter(twice, 3_000);
        evictAfter(twice, 5_500);
        add("c", Repeat.AT_MOST_ONCE, 300, 3_000, 200);
        throttleAfter(add("d", Repeat.IDEMPOTENT, 300, 3_000, 300), 1_500);
        add("e", Repeat.RESUMABLE, 600, 2_000, 500);
        add("f", Repeat.RESUMABLE, 700, 2_000, 600).cancelAfter(1_800);
        add("g", Repeat.RESUMABLE, 300, 20_000, 300).cancelAfter(4_000);
        add("h fail", Repeat.IDEMPOTENT, 100, 1_000, 800);
        add("i", Repeat.AT_MOST_ONCE, 300, 2_000, 900);
        add("j", Repeat.RESUMABLE, 100, 1_000, 3_000);
        evictAfter(add("k", Repeat.IDEMPOTENT, 200, 4_000, 4_000), 6_000);
        add("l", Repeat.AT_MOST_ONCE, 500, 1_000, 9_500);
        SimulatedCaller often = add("n", Repeat.RESUMABLE, 50, 9_000, 200);
        for (long millis = 1_000; millis <= 7_000; millis += 1_000) {
            evictAfter(often, millis);
        }
        add("m", Repeat.IDEMPOTENT, 1_001, 1_000, 2_000);
    }

    private SimulatedCaller add(
            String key, Repeat repeat, long processors, long runTimeMillis, long atMillis) {
        TaskSpec task =
                new TaskSpec(
                        new KindName("kind"),
                        new Resources(processors, 100, 0),
                        runTimeMillis,
                        "key:" + key);
        JobSubmission submission =
                new JobSubmission(
                        new RequestKey(key),
                        new TenantName("tenant"),
                        WorkClass.BATCH,
                        repeat,
                        task);
        boolean givesUp = callers.size() % 3 == 2 || processors > CAPACITY;
        SimulatedCaller caller = new SimulatedCaller(harness, submission, givesUp);
        callers.add(caller);
        caller.start(atMillis);
        return caller;
    }

    private void evictAfter(SimulatedCaller caller, long millis) {
        tellAfter(caller, millis, status -> new Evict(status.job()));
    }

    private void throttleAfter(SimulatedCaller caller, long millis) {
        tellAfter(caller, millis, status -> new Throttle(status.job(), HALF_SPEED_PERCENT));
    }

    private void tellAfter(
            SimulatedCaller caller, long millis, Function<JobStatus, CellEvent> event) {
        harness.clock().after(millis, () -> caller.last().map(event).ifPresent(this::tellOwner));
    }

    private void tellOwner(CellEvent event) {
        harness.active().ifPresent(owner -> harness.deliver(owner, event));
    }

    private void drain() {
        tellOwner(new Drain());
    }

    private boolean allDone() {
        return callers.stream().allMatch(SimulatedCaller::done);
    }
}
