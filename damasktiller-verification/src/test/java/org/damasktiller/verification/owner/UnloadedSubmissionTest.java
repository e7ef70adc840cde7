package org.damasktiller.verification.owner;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.matchesPattern;

import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.damasktiller.scheduler.model.Resources;
import org.damasktiller.scheduler.model.StepSpec;
import org.damasktiller.scheduler.model.SubmissionState;
import org.damasktiller.scheduler.model.TaskId;
import org.damasktiller.verification.owner.CellSimulation.OwnerProcess;
import org.junit.jupiter.api.Test;

/** Tests that an owner loads no more submissions than it has memory for, whatever is stored. */
final class UnloadedSubmissionTest {

    /** The memory for open submissions, in bytes. */
    private static final long BOUND_BYTES = 200_000;

    /** The part of it that large submissions may take, in bytes. */
    private static final long LARGE_BOUND_BYTES = BOUND_BYTES * 3 / 4;

    /** The number of large submissions, which together take several times the bound. */
    private static final int LARGE_COUNT = 12;

    /** The number of steps of each of them. */
    private static final int STEPS = 60;

    /** The number of generated cases. */
    private static final int CASES = 200;

    /** The identifier of an ordinary submission. */
    private static final String ORDINARY = "00000000000000b1";

    /** What an owner logs of the memory that the loaded submissions take. */
    private static final Pattern LOADED =
            Pattern.compile("records, (\\d+), bytes, (\\d+), unloaded, (\\d+)");

    /** What a task with a record takes, in bytes. */
    private static final long BYTES_PER_RECORD = 550;

    // Thirty submissions within a second ended each owner in turn, which ran out of memory.
    @Test
    void ownerLoadsWhatItHasMemoryFor() {
        CellSimulation simulation = createCell();
        simulation.startOwner();
        simulation.runtime.advance(2_000);
        submitLarge(simulation);
        simulation.submit(ORDINARY, CellSimulation.shortStep(1));
        simulation.runtime.advance(2_000);
        assertThat(simulation.submissionState(ORDINARY), equalTo(SubmissionState.SUCCEEDED));
        simulation.runtime.advance(120_000);

        assertThatAllRanOnce(simulation);
        assertThatMemoryIsBounded(simulation, true);
    }

    // What was stored was loaded by each owner in turn, and ended it.
    @Test
    void takeoversInSeriesLoadWhatTheyHaveMemoryFor() {
        CellSimulation simulation = createCell();
        submitLarge(simulation);
        for (int round = 0; round < 5; round++) {
            OwnerProcess owner = simulation.startOwner();
            simulation.runtime.advance(6_000);
            owner.kill();
        }
        simulation.startOwner();
        simulation.submit(ORDINARY, CellSimulation.shortStep(1));
        simulation.runtime.advance(6_000);
        assertThat(simulation.submissionState(ORDINARY), equalTo(SubmissionState.SUCCEEDED));
        simulation.runtime.advance(120_000);

        assertThatAllRanOnce(simulation);
        assertThatMemoryIsBounded(simulation, false);
    }

    @Test
    void submissionThatIsCancelledBeforeItIsLoadedNeverStarts() {
        CellSimulation simulation = createCell();
        simulation.startOwner();
        simulation.runtime.advance(2_000);
        submitLarge(simulation);
        simulation.runtime.advance(500);
        String last = id(LARGE_COUNT - 1);
        assertThat(
                simulation.logLines,
                hasItem(matchesPattern(".* submission.left \\[id, " + last + ".*")));
        simulation.cancel(last);
        simulation.runtime.advance(120_000);

        assertThat(simulation.submissionState(last), equalTo(SubmissionState.CANCELLED));
        for (int step = 0; step < STEPS; step++) {
            assertThat(simulation.invariants.startCount(new TaskId(last, 0, step, 0)), equalTo(0));
        }
        assertThat(simulation.invariants.violations(), empty());
    }

    @Test
    void singleSubmissionAboveTheBoundRuns() {
        CellSimulation simulation = createCell();
        simulation.openWorkBytes = 10_000;
        simulation.startOwner();
        simulation.submit(id(0), steps());
        simulation.submit(ORDINARY, CellSimulation.shortStep(1));
        simulation.runtime.advance(60_000);

        assertThat(simulation.submissionState(id(0)), equalTo(SubmissionState.SUCCEEDED));
        assertThat(simulation.submissionState(ORDINARY), equalTo(SubmissionState.SUCCEEDED));
        assertThat(simulation.invariants.violations(), empty());
    }

    // Owners that end, in order or not, while submissions are loaded, cancelled and handed in.
    @Test
    void nothingIsLostOrRunsTwiceOverTakeovers() {
        for (int seed = 0; seed < CASES; seed++) {
            play(seed);
        }
    }

    /**
     * Plays a generated case.
     *
     * @param seed the seed
     */
    private static void play(int seed) {
        Random random = new Random(seed);
        CellSimulation simulation = createCell();
        simulation.taskDurationMillis = 200L + random.nextInt(1_500);
        int handedIn = 0;
        OwnerProcess owner = simulation.startOwner();
        for (int round = 0; round < 6; round++) {
            int more = random.nextInt(LARGE_COUNT - handedIn + 1);
            for (int count = 0; count < more; count++) {
                simulation.submit(id(handedIn), steps());
                handedIn++;
                simulation.runtime.advance(random.nextInt(300));
            }
            simulation.runtime.advance(random.nextInt(4_000));
            if (round < 3 && random.nextInt(3) == 0) {
                simulation.crashWorker("w" + round);
            }
            if (random.nextBoolean()) {
                owner.leave();
                simulation.runtime.advance(400);
            }
            owner.kill();
            simulation.runtime.advance(random.nextInt(1_500));
            owner = simulation.startOwner();
        }
        simulation.runtime.advance(240_000);
        String about = "seed " + seed;
        assertThat(about, simulation.invariants.violations(), empty());
        for (int number = 0; number < handedIn; number++) {
            assertThat(
                    about,
                    simulation.submissionState(id(number)),
                    equalTo(SubmissionState.SUCCEEDED));
        }
    }

    /**
     * Creates a cell whose owners have little memory.
     *
     * @return the cell
     */
    private static CellSimulation createCell() {
        CellSimulation simulation = new CellSimulation(4);
        simulation.openWorkBytes = BOUND_BYTES;
        return simulation;
    }

    /**
     * Hands in the large submissions.
     *
     * @param simulation the cell
     */
    private static void submitLarge(CellSimulation simulation) {
        for (int number = 0; number < LARGE_COUNT; number++) {
            simulation.submit(id(number), steps());
        }
    }

    /**
     * Creates the steps of a large submission, all but the first after the first one.
     *
     * @return the steps
     */
    private static StepSpec[] steps() {
        StepSpec first =
                StepSpec.builder(1, new Resources(500, 100, 0)).estimateMillis(400).build();
        StepSpec[] steps = new StepSpec[STEPS];
        Arrays.fill(
                steps,
                StepSpec.builder(1, first.need())
                        .estimateMillis(first.estimateMillis())
                        .after(List.of(0))
                        .build());
        steps[0] = first;
        return steps;
    }

    /**
     * Returns the identifier of a large submission.
     *
     * @param number its number, from 0
     * @return the identifier
     */
    private static String id(int number) {
        return String.format("00000000000000%02x", number);
    }

    /**
     * Checks that the large submissions are done and each of their tasks was started once.
     *
     * @param simulation the cell
     */
    private static void assertThatAllRanOnce(CellSimulation simulation) {
        for (int number = 0; number < LARGE_COUNT; number++) {
            assertThat(simulation.submissionState(id(number)), equalTo(SubmissionState.SUCCEEDED));
            for (int step = 0; step < STEPS; step++) {
                TaskId task = new TaskId(id(number), 0, step, 0);
                assertThat(task.toString(), simulation.invariants.startCount(task), equalTo(1));
            }
        }
        assertThat(simulation.invariants.violations(), empty());
    }

    /**
     * Checks what the owners have loaded, by their logs.
     *
     * @param simulation the cell
     * @param left whether the log must tell of submissions that were not loaded
     */
    private static void assertThatMemoryIsBounded(CellSimulation simulation, boolean left) {
        int reports = 0;
        long mostLeft = 0;
        for (String line : simulation.logLines) {
            Matcher matcher = LOADED.matcher(line);
            if (line.contains(" owner.tasks ") && matcher.find()) {
                reports++;
                long records = Long.parseLong(matcher.group(1));
                mostLeft = Math.max(mostLeft, Long.parseLong(matcher.group(3)));
                assertThat(
                        line,
                        Long.parseLong(matcher.group(2)) - records * BYTES_PER_RECORD,
                        lessThanOrEqualTo(LARGE_BOUND_BYTES));
            }
        }
        assertThat(reports, greaterThan(0));
        if (left) {
            assertThat(mostLeft, greaterThan(0L));
        }
    }
}
