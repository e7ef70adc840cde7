package org.damasktiller.verification.claim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.damasktiller.authority.claim.ClaimKey;
import org.damasktiller.authority.claim.ClaimSettings;
import org.damasktiller.authority.claim.FinishRequest;
import org.damasktiller.authority.commit.CommitSettings;
import org.damasktiller.authority.ownership.OwnershipSettings;
import org.damasktiller.error.Outcome;
import org.damasktiller.identity.KindName;
import org.damasktiller.identity.RequestKey;
import org.damasktiller.identity.TenantName;
import org.damasktiller.standin.cell.CallFault;
import org.damasktiller.standin.claim.ClaimHarness;
import org.damasktiller.standin.claim.ClaimStep;
import org.damasktiller.standin.claim.ClaimTimes;
import org.damasktiller.standin.claim.RequestTry;

/** Runs callers that repeat requests through both forwarders, and judges what they were told. */
final class ClaimScenario {

    /** Until when faults begin, in milliseconds. */
    private static final long FAULTS_END_MILLIS = 35_000;

    /** When the last key is tried, after all faults have passed, in milliseconds. */
    private static final long LAST_TRY_MILLIS = 60_000;

    /** Settings with a lease shorter than a pause and a retention longer than a run. */
    private static final ClaimSettings SETTINGS =
            new ClaimSettings(
                    new OwnershipSettings(3_000, 1_000, 500, 0, 0, 0, 500),
                    new CommitSettings(200, 50, 64 * 1024, 512 * 1024, 100, 1_000),
                    1_000,
                    2_000,
                    90_000,
                    1_000,
                    100);

    /** The faults by the number of the call. */
    private final Map<Integer, CallFault> faults;

    /** The step of each call, by its number. */
    private final Map<Integer, ClaimStep> steps = new HashMap<>();

    /** The harness. */
    private final ClaimHarness harness;

    /** When the run began, in milliseconds. */
    private final long startMillis;

    /** Whether faults may begin. */
    private boolean faulty = true;

    ClaimScenario(Map<Integer, CallFault> faults) {
        this.faults = faults;
        this.harness = new ClaimHarness(SETTINGS, ClaimTimes.DEFAULT, this::faultAt);
        this.startMillis = harness.clock().nowMillis();
        harness.clock().after(FAULTS_END_MILLIS, () -> faulty = false);
    }

    /** Returns the step of each call so far. */
    Map<Integer, ClaimStep> steps() {
        return steps;
    }

    /** Returns the tries. */
    List<RequestTry> tries() {
        return harness.tries();
    }

    /** Runs the callers and returns the violations. */
    List<String> run() {
        at(1_000, "sequential", 0);
        at(5_000, "sequential", 1);
        at(10_000, "sequential", 0);
        at(20_000, "sequential", 1);
        at(1_000, "concurrent", 0);
        at(1_001, "concurrent", 1);
        at(1_400, "concurrent", 1);
        at(14_000, "concurrent", 0);
        at(2_000, "single", 1);
        at(LAST_TRY_MILLIS, "last", 0);
        harness.clock().run(startMillis + LAST_TRY_MILLIS + 5_000, () -> false);
        return violations();
    }

    private void at(long millis, String key, int forwarder) {
        ClaimKey claimed =
                new ClaimKey(
                        new TenantName("tenant"), new KindName("billing"), new RequestKey(key));
        harness.clock().after(millis, () -> harness.request(claimed, forwarder));
    }

    private CallFault faultAt(int number, ClaimStep step) {
        if (!faulty) {
            return CallFault.NONE;
        }
        steps.put(number, step);
        return faults.getOrDefault(number, CallFault.NONE);
    }

    private List<String> violations() {
        List<String> found = new ArrayList<>();
        Map<ClaimKey, Integer> executions = new HashMap<>();
        tries().forEach(each -> executions.merge(each.key(), each.executions(), Integer::sum));
        executions.forEach(
                (key, count) -> {
                    if (count > 1) {
                        found.add(key.key() + " was executed " + count + " times");
                    }
                });
        tries().forEach(each -> judge(each, executions.getOrDefault(each.key(), 0), found));
        FinishRequest last = tries().get(tries().size() - 1).told();
        if (last == null || last.outcome() != Outcome.RUN) {
            found.add("after the faults a new request was not run: " + last);
        }
        return found;
    }

    private static void judge(RequestTry each, int executionsOfKey, List<String> found) {
        FinishRequest told = each.told();
        if (told == null) {
            return;
        }
        if (told.outcome() == Outcome.NOT_RUN && each.executions() > 0) {
            found.add(each.key().key() + " was executed and its caller told NOT_RUN");
        }
        boolean own = told.code() == null;
        if (told.outcome() == Outcome.RUN && (own ? each.executions() : executionsOfKey) != 1) {
            found.add(each.key().key() + " was not executed and its caller told RUN");
        }
    }
}
