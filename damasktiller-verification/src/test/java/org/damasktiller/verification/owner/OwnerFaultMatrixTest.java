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
 * Brings about every fault at every call of an owner, alone and with its death, and pairs of faults
 * drawn from fixed seeds: whatever happens, all work ends and nothing runs twice.
 */
final class OwnerFaultMatrixTest {

    /** The calls that may go wrong. */
    private static final List<String> CALLS =
            List.of("start", "stop", "hold", "commit", "read", "list");

    /** The numbers of the call of a kind that goes wrong. */
    private static final int MOST_CALLS = 10;

    /** When the first owner dies after the submissions, in milliseconds; zero for never. */
    private static final long[] KILL_TIMES = {0, 150, 900, 4_600};

    /** The steps of a chain that is still running when late calls are carried out. */
    private static final int CHAIN = 14;

    /** The submissions of a case. */
    private static final int JOBS = 4;

    /** The submission that is a chain. */
    private static final String CHAIN_JOB = "00000000000000fe";

    /** The seeds of the random cases. */
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
     * Makes a plan in which one call goes wrong.
     *
     * @param call the kind of the call
     * @param fate what becomes of it
     * @param number which call of the kind it is, from 1
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
     * Runs a case.
     *
     * @param name its name
     * @param plan what becomes of the first owner's calls
     * @param killAfterMillis when the first owner dies after the submissions, zero for never
     * @return a line for each thing that is wrong
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
     * Makes a chain of steps of one task.
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
