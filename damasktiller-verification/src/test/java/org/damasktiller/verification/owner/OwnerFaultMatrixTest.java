package org.damasktiller.verification.owner;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.damasktiller.scheduler.model.StepSpec;
import org.damasktiller.scheduler.model.SubmissionState;
import org.damasktiller.scheduler.policy.Policy;
import org.damasktiller.scheduler.policy.PolicySet;
import org.damasktiller.standin.metadata.CallFault;
import org.damasktiller.standin.metadata.FaultPlan;
import org.damasktiller.verification.owner.CellSimulation.OwnerProcess;
import org.junit.jupiter.api.Test;

/**
 * Injects each fault into each early call of an owner, with and without killing the owner, and
 * random faults from fixed seeds into any of its calls. In every case all short work must complete,
 * and no task may run twice at the same time or start again after its end.
 */
final class OwnerFaultMatrixTest {

    /** The kinds of calls into which a fault is injected. */
    private static final List<String> CALLS =
            List.of("start", "stop", "hold", "commit", "read", "list");

    /** The number of calls of each kind, from the first on, into which a fault is injected. */
    private static final int MAX_CALL_NUMBER = 10;

    /**
     * The times from the submissions until the first owner is killed, in milliseconds; 0 for never.
     */
    private static final long[] KILL_DELAYS_MILLIS = {0, 150, 900, 4_600};

    /** The number of steps of a chain long enough to be still running when late calls arrive. */
    private static final int CHAIN_STEP_COUNT = 14;

    /** The number of submissions of two steps in each case. */
    private static final int SUBMISSION_COUNT = 4;

    /** The identifier of the submission with a chain of steps. */
    private static final String CHAIN_SUBMISSION = "00000000000000fe";

    /** The number of random cases; their seeds count from 0. */
    private static final int SEED_COUNT = 250;

    /** The number of random cases without some policy; their seeds count from 0. */
    private static final int SEED_COUNT_PER_POLICY = 12;

    @Test
    void everyFaultAtEveryCall() {
        List<String> violations = new ArrayList<>();
        int caseCount = 0;
        for (String call : CALLS) {
            for (CallFault fault : CallFault.values()) {
                for (int number = 1; number <= MAX_CALL_NUMBER; number++) {
                    for (long killAfterMillis : KILL_DELAYS_MILLIS) {
                        caseCount++;
                        String name =
                                call + ' ' + fault + ' ' + number + " kill " + killAfterMillis;
                        violations.addAll(
                                run(
                                        name,
                                        PolicySet.ALL,
                                        faultInCall(call, fault, number),
                                        killAfterMillis));
                    }
                }
            }
        }
        assertThat(caseCount, greaterThan(800));
        assertThat(violations, empty());
    }

    @Test
    void randomFaultsOfManyCalls() {
        List<String> violations = new ArrayList<>();
        for (int seed = 0; seed < SEED_COUNT; seed++) {
            violations.addAll(runWithRandomFaults(seed, PolicySet.ALL));
        }
        assertThat(violations, empty());
    }

    /** No promise depends on a policy: each one is off, and then all of them. */
    @Test
    void randomFaultsWithoutPolicies() {
        List<PolicySet> policySets = new ArrayList<>();
        for (Policy policy : Policy.values()) {
            policySets.add(PolicySet.without(List.of(policy)));
        }
        policySets.add(PolicySet.NONE);
        List<String> violations = new ArrayList<>();
        for (PolicySet policies : policySets) {
            for (int seed = 0; seed < SEED_COUNT_PER_POLICY; seed++) {
                violations.addAll(runWithRandomFaults(seed, policies));
            }
        }
        assertThat(violations, empty());
    }

    /**
     * Runs a case with random faults in any of the calls of the first owner.
     *
     * @param seed the seed of the faults
     * @param policies the policies in force
     * @return a message for each violation and each submission that did not succeed
     */
    private static List<String> runWithRandomFaults(int seed, PolicySet policies) {
        SplittableRandom random = new SplittableRandom(seed);
        FaultPlan plan =
                call -> {
                    CallFault[] faults = CallFault.values();
                    return random.nextInt(12) > 0
                            ? CallFault.ANSWERED
                            : faults[random.nextInt(faults.length)];
                };
        long killAfterMillis = random.nextInt(3) == 0 ? 0 : random.nextInt(100, 3_000);
        return run("seed " + seed + " without " + policies, policies, plan, killAfterMillis);
    }

    /**
     * Creates a plan that injects a fault into a single call.
     *
     * @param call the kind of the call
     * @param fault the fault
     * @param number the position of the call among the calls of that kind, from 1
     * @return the plan
     */
    private static FaultPlan faultInCall(String call, CallFault fault, int number) {
        int[] seenCount = new int[1];
        return name -> {
            if (!name.equals(call)) {
                return CallFault.ANSWERED;
            }
            seenCount[0]++;
            return seenCount[0] == number ? fault : CallFault.ANSWERED;
        };
    }

    /**
     * Runs a case and checks its outcome. If the first owner is killed or gives up, another one
     * takes over.
     *
     * @param name the name of the case, for the messages
     * @param policies the policies in force
     * @param plan the faults of the first owner's calls
     * @param killAfterMillis when the first owner is killed after the submissions, in milliseconds,
     *     or 0 for never
     * @return a message for each violation and each submission that did not succeed
     */
    private static List<String> run(
            String name, PolicySet policies, FaultPlan plan, long killAfterMillis) {
        CellSimulation simulation = new CellSimulation(3);
        simulation.policies = policies;
        OwnerProcess first = simulation.startOwner(plan, plan);
        simulation.runtime.advance(100);
        for (int number = 0; number < SUBMISSION_COUNT; number++) {
            simulation.submit(
                    "000000000000000" + number,
                    CellSimulation.shortStep(3),
                    CellSimulation.shortStep(2, 0));
        }
        simulation.submit("00000000000000ff", CellSimulation.longRunningStep(2));
        simulation.submit(CHAIN_SUBMISSION, chain());
        if (killAfterMillis > 0) {
            simulation.runtime.advance(killAfterMillis);
            first.kill();
            simulation.runtime.advance(50);
            simulation.startOwner();
        }
        simulation.runtime.advance(40_000);
        if (first.ended && killAfterMillis == 0) {
            simulation.startOwner();
            simulation.runtime.advance(40_000);
        }
        List<String> violations = new ArrayList<>();
        for (String violation : simulation.invariants.violations()) {
            violations.add(name + ": " + violation);
        }
        for (int number = 0; number < SUBMISSION_COUNT; number++) {
            SubmissionState state = simulation.submissionState("000000000000000" + number);
            if (state != SubmissionState.SUCCEEDED) {
                violations.add(name + ": submission " + number + " is " + state);
            }
        }
        if (simulation.submissionState(CHAIN_SUBMISSION) != SubmissionState.SUCCEEDED) {
            violations.add(name + ": the chain is " + simulation.submissionState(CHAIN_SUBMISSION));
        }
        return violations;
    }

    /**
     * Creates a chain of steps, each of one task and dependent on the step before.
     *
     * @return the steps
     */
    private static StepSpec[] chain() {
        StepSpec[] steps = new StepSpec[CHAIN_STEP_COUNT];
        for (int number = 0; number < CHAIN_STEP_COUNT; number++) {
            steps[number] =
                    number == 0
                            ? CellSimulation.shortStep(1)
                            : CellSimulation.shortStep(1, number - 1);
        }
        return steps;
    }
}
