package org.damasktiller.standin.claim;

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

/** Runs callers that repeat requests through both forwarders, and judges what they were told. */
public final class ClaimScenario {

    /** When a key is tried, each time by the other forwarder, in milliseconds. */
    private static final long[] SEQUENTIAL_MILLIS = {1_000, 5_000, 10_000, 20_000};

    /** When a key is tried before the answer to an earlier try, in milliseconds. */
    private static final long[] CONCURRENT_MILLIS = {1_000, 1_001, 1_400, 14_000};

    /** When a key is tried that is never repeated, in milliseconds. */
    private static final long[] SINGLE_MILLIS = {2_000};

    /** How long the last try is waited for, in milliseconds. */
    private static final long LAST_WAIT_MILLIS = 5_000;

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

    /**
     * Prepares a run.
     *
     * @param faults the faults by the number of the call at which they begin
     */
    public ClaimScenario(Map<Integer, CallFault> faults) {
        this.faults = faults;
        this.harness = new ClaimHarness(SETTINGS, ClaimTimes.DEFAULT, this::faultAt);
        this.startMillis = harness.clock().nowMillis();
        harness.clock().after(FAULTS_END_MILLIS, () -> faulty = false);
    }

    /**
     * Returns the step of each call at which a fault could have begun.
     *
     * @return the steps by the number of the call
     */
    public Map<Integer, ClaimStep> steps() {
        return steps;
    }

    /**
     * Returns the tries.
     *
     * @return the tries, in the order of their beginning
     */
    public List<RequestTry> tries() {
        return harness.tries();
    }

    /**
     * Runs the callers.
     *
     * @return the violations, none if all is well
     */
    public List<String> run() {
        atEach("sequential", SEQUENTIAL_MILLIS);
        atEach("concurrent", CONCURRENT_MILLIS);
        atEach("single", SINGLE_MILLIS);
        at(LAST_TRY_MILLIS, "last", 0);
        harness.clock().run(startMillis + LAST_TRY_MILLIS + LAST_WAIT_MILLIS, () -> false);
        return violations();
    }

    /**
     * Has callers try a request by each forwarder in turn.
     *
     * @param key the idempotency key
     * @param millis after which times, in milliseconds
     */
    private void atEach(String key, long[] millis) {
        for (int index = 0; index < millis.length; index++) {
            at(millis[index], key, index % 2);
        }
    }

    /**
     * Has a caller try a request.
     *
     * @param millis after which time, in milliseconds
     * @param key the idempotency key
     * @param forwarder the number of the forwarder
     */
    private void at(long millis, String key, int forwarder) {
        ClaimKey claimed =
                new ClaimKey(
                        new TenantName("tenant"), new KindName("billing"), new RequestKey(key));
        harness.clock().after(millis, () -> harness.request(claimed, forwarder));
    }

    /**
     * Chooses the fault of one call.
     *
     * @param number the number of the call
     * @param step the step
     * @return the fault
     */
    private CallFault faultAt(int number, ClaimStep step) {
        if (!faulty) {
            return CallFault.NONE;
        }
        steps.put(number, step);
        return faults.getOrDefault(number, CallFault.NONE);
    }

    /**
     * Judges the run.
     *
     * @return the violations
     */
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

    /**
     * Judges one try.
     *
     * @param each the try
     * @param executionsOfKey how often the endpoint executed its key
     * @param found where violations go
     */
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
