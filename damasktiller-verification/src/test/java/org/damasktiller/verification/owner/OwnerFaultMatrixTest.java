package org.damasktiller.verification.owner;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.damasktiller.scheduler.model.StepSpec;
import org.damasktiller.scheduler.model.SubmissionState;
import org.damasktiller.standin.metadata.CallFate;
import org.damasktiller.standin.metadata.FatePlan;
import org.damasktiller.verification.owner.OwnerWorld.OwnerProcess;
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
    private static final int MOST_CALLS = 10;

    /**
     * The times from the submissions until the first owner is killed, in milliseconds; 0 for never.
     */
    private static final long[] KILL_TIMES = {0, 150, 900, 4_600};

    /** The number of steps of a chain long enough to be still running when late calls arrive. */
    private static final int CHAIN = 14;

    /** The number of submissions of two steps in each case. */
    private static final int JOBS = 4;

    /** The identifier of the submission with a chain of steps. */
    private static final String CHAIN_JOB = "00000000000000fe";

    /** The number of random cases; their seeds count from 0. */
    private static final int SEEDS = 250;

    @Test
    void everyFaultAtEveryCall() {
        List<String> found = new ArrayList<>();
        int cases = 0;
        for (String call : CALLS) {
            for (CallFate fate : CallFate.values()) {
                for (int number = 1; number <= MOST_CALLS; number++) {
                    for (long killAfter : KILL_TIMES) {
                        cases++;
                        String name = call + ' ' + fate + ' ' + number + " kill " + killAfter;
                        found.addAll(run(name, nth(call, fate, number), killAfter));
                    }
                }
            }
        }
        assertThat(cases, greaterThan(800));
        assertThat(found, empty());
    }

    @Test
    void randomFaultsOfManyCalls() {
        List<String> found = new ArrayList<>();
        for (int seed = 0; seed < SEEDS; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            FatePlan plan =
                    call -> {
                        CallFate[] fates = CallFate.values();
                        return random.nextInt(12) > 0
                                ? CallFate.ANSWERED
                                : fates[random.nextInt(fates.length)];
                    };
            long killAfter = random.nextInt(3) == 0 ? 0 : random.nextInt(100, 3_000);
            found.addAll(run("seed " + seed, plan, killAfter));
        }
        assertThat(found, empty());
    }

    /**
     * Creates a plan that injects a fault into a single call.
     *
     * @param call the kind of the call
     * @param fate the fault
     * @param number the position of the call among the calls of that kind, from 1
     * @return the plan
     */
    private static FatePlan nth(String call, CallFate fate, int number) {
        int[] seen = new int[1];
        return name -> {
            if (!name.equals(call)) {
                return CallFate.ANSWERED;
            }
            seen[0]++;
            return seen[0] == number ? fate : CallFate.ANSWERED;
        };
    }

    /**
     * Runs a case and checks its outcome. If the first owner is killed or gives up, another one
     * takes over.
     *
     * @param name the name of the case, for the messages
     * @param plan the faults of the first owner's calls
     * @param killAfterMillis when the first owner is killed after the submissions, in milliseconds,
     *     or 0 for never
     * @return a message for each violation and each submission that did not succeed
     */
    private static List<String> run(String name, FatePlan plan, long killAfterMillis) {
        OwnerWorld world = new OwnerWorld(3);
        OwnerProcess first = world.own(plan, plan);
        world.runtime.advance(100);
        for (int job = 0; job < JOBS; job++) {
            world.submit("000000000000000" + job, OwnerWorld.step(3), OwnerWorld.step(2, 0));
        }
        world.submit("00000000000000ff", OwnerWorld.lasting(2));
        world.submit(CHAIN_JOB, chain());
        if (killAfterMillis > 0) {
            world.runtime.advance(killAfterMillis);
            first.kill();
            world.runtime.advance(50);
            world.own();
        }
        world.runtime.advance(40_000);
        if (first.ended && killAfterMillis == 0) {
            world.own();
            world.runtime.advance(40_000);
        }
        List<String> wrong = new ArrayList<>();
        for (String violation : world.audit.violations()) {
            wrong.add(name + ": " + violation);
        }
        for (int job = 0; job < JOBS; job++) {
            SubmissionState state = world.state("000000000000000" + job);
            if (state != SubmissionState.SUCCEEDED) {
                wrong.add(name + ": submission " + job + " is " + state);
            }
        }
        if (world.state(CHAIN_JOB) != SubmissionState.SUCCEEDED) {
            wrong.add(name + ": the chain is " + world.state(CHAIN_JOB));
        }
        return wrong;
    }

    /**
     * Creates a chain of steps, each of one task and dependent on the step before.
     *
     * @return the steps
     */
    private static StepSpec[] chain() {
        StepSpec[] steps = new StepSpec[CHAIN];
        for (int number = 0; number < CHAIN; number++) {
            steps[number] = number == 0 ? OwnerWorld.step(1) : OwnerWorld.step(1, number - 1);
        }
        return steps;
    }
}
