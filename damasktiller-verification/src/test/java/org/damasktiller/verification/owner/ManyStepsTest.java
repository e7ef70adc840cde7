package org.damasktiller.verification.owner;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.damasktiller.scheduler.model.Resources;
import org.damasktiller.scheduler.model.StepSpec;
import org.damasktiller.scheduler.model.SubmissionState;
import org.damasktiller.scheduler.model.TaskId;
import org.damasktiller.verification.owner.CellSimulation.OwnerProcess;
import org.junit.jupiter.api.Test;

/** Tests submissions with very many steps, of which each has one task. */
final class ManyStepsTest {

    /** The number of steps. */
    private static final int STEPS = 1_500;

    /** The most run times that a pass may estimate for each step at which it looks. */
    private static final long MAX_ESTIMATES_PER_STEP = 4;

    /** The tasks that run at once: sixteen on each of four workers. */
    private static final long SLOTS = 64;

    /**
     * The most steps at which the end of a run may look: those of the tasks that run, of those that
     * have ended since the last removal of records, and of those whose waiting is logged.
     */
    private static final long MAX_STEPS_PER_END = 4 * SLOTS;

    /** The most waiting steps of a submission that a pass may try to start. */
    private static final long MAX_WAITING_STEPS = 4 * 64;

    /** The identifier of the submission with many steps. */
    private static final String LARGE = "00000000000000a1";

    /** The identifier of an ordinary submission. */
    private static final String ORDINARY = "00000000000000a2";

    /** The counts that an owner logs of its passes. */
    private static final Pattern PASSES =
            Pattern.compile("passes, (\\d+), visitedSteps, (\\d+), estimates, (\\d+)");

    /** The number of waiting steps that an owner logs. */
    private static final Pattern WAITING = Pattern.compile("waitingSteps, (\\d+)");

    /** The counts that an owner logs of the ends of runs. */
    private static final Pattern ENDS = Pattern.compile("ends, (\\d+), endSteps, (\\d+)");

    /** The cell. */
    private final CellSimulation simulation = new CellSimulation(4);

    // One submission of 180 KB stopped all entry VMs in turn: a pass took 13 s.
    @Test
    void passEstimatesTheRunTimesOfManyStepsThatWaitOnce() {
        simulation.startOwner();
        submitLarge(Collections.nCopies(STEPS, missingLabel()));
        simulation.runtime.advance(6_000);

        assertThatPassesAreLinear();
    }

    // Each owner in turn loaded the submission and stopped likewise.
    @Test
    void passesAfterTakeoversEstimateTheRunTimesOfManyStepsOnce() {
        submitLarge(Collections.nCopies(STEPS, missingLabel()));
        for (int round = 0; round < 3; round++) {
            OwnerProcess owner = simulation.startOwner();
            simulation.runtime.advance(6_000);
            owner.kill();
        }

        assertThatPassesAreLinear();
    }

    // Each end of a run looked at all steps, which held the loop for 0.4 s after a poll.
    @Test
    void endOfARunLooksAtNoStepsWithoutRuns() {
        simulation.startOwner();
        submitLarge(Collections.nCopies(STEPS, shortStep()));
        simulation.runtime.advance(60_000);

        assertThat(simulation.submissionState(LARGE), equalTo(SubmissionState.SUCCEEDED));
        assertThat(simulation.invariants.violations(), empty());
        long ends = 0;
        for (String line : simulation.logLines) {
            Matcher matcher = ENDS.matcher(line);
            if (matcher.find()) {
                ends += Long.parseLong(matcher.group(1));
                long bound = MAX_STEPS_PER_END * Long.parseLong(matcher.group(1));
                assertThat(line, Long.parseLong(matcher.group(2)), lessThanOrEqualTo(bound));
            }
        }
        assertThat(ends, greaterThan(0L));
    }

    // A pass sorted all steps that wait and looked for a worker for each, on all workers.
    @Test
    void stepThatCanStartIsFoundAmongManyThatCanNot() {
        List<StepSpec> steps = new ArrayList<>(Collections.nCopies(STEPS, missingLabel()));
        steps.set(STEPS / 2, shortStep());
        simulation.startOwner();
        submitLarge(steps);
        simulation.runtime.advance(11_000);

        assertThat(
                simulation.invariants.startCount(new TaskId(LARGE, 0, STEPS / 2, 0)), equalTo(1));
        long reports = 0;
        for (String line : simulation.logLines) {
            Matcher matcher = WAITING.matcher(line);
            if (line.contains(" owner.passes ") && matcher.find()) {
                reports++;
                assertThat(
                        line,
                        Long.parseLong(matcher.group(1)),
                        lessThanOrEqualTo(MAX_WAITING_STEPS));
            }
        }
        assertThat(reports, greaterThan(0L));
    }

    // Steps that wait for earlier ones, occurrences and gangs take the same way.
    @Test
    void stepsOfAllKindsRunBesideAnOrdinarySubmission() {
        List<StepSpec> steps = new ArrayList<>();
        for (int number = 0; number < 300; number++) {
            StepSpec plain = shortStep();
            steps.add(
                    switch (number % 3) {
                        case 1 ->
                                StepSpec.builder(1, plain.need())
                                        .estimateMillis(plain.estimateMillis())
                                        .after(List.of(number - 1))
                                        .build();
                        case 2 ->
                                StepSpec.builder(2, plain.need())
                                        .estimateMillis(plain.estimateMillis())
                                        .gang(true)
                                        .build();
                        default -> plain;
                    });
        }
        simulation.startOwner();
        submitLarge(steps);
        simulation.submit(ORDINARY, CellSimulation.shortStep(1));
        simulation.runtime.advance(60_000);

        assertThat(simulation.submissionState(ORDINARY), equalTo(SubmissionState.SUCCEEDED));
        assertThat(simulation.submissionState(LARGE), equalTo(SubmissionState.SUCCEEDED));
        assertThat(simulation.invariants.violations(), empty());
        assertThatPassesAreLinear();
    }

    /**
     * Hands in the submission with many steps.
     *
     * @param steps the steps
     */
    private void submitLarge(List<StepSpec> steps) {
        simulation.submit(LARGE, steps.toArray(StepSpec[]::new));
    }

    /**
     * Creates a step whose task no worker may run.
     *
     * @return the step
     */
    private static StepSpec missingLabel() {
        return StepSpec.builder(1, new Resources(500, 100, 0)).requiredLabel("missing").build();
    }

    /**
     * Creates a step with one short task.
     *
     * @return the step
     */
    private static StepSpec shortStep() {
        return StepSpec.builder(1, new Resources(500, 100, 0)).estimateMillis(400).build();
    }

    /** Checks that the cost of the passes follows the number of steps, not its square. */
    private void assertThatPassesAreLinear() {
        long passes = 0;
        for (String line : simulation.logLines) {
            Matcher matcher = PASSES.matcher(line);
            if (matcher.find()) {
                passes += Long.parseLong(matcher.group(1));
                long visitedSteps = Long.parseLong(matcher.group(2));
                long estimates = Long.parseLong(matcher.group(3));
                assertThat(
                        line, estimates, lessThanOrEqualTo(MAX_ESTIMATES_PER_STEP * visitedSteps));
            }
        }
        assertThat("the owners have told what their passes do", passes, greaterThan(0L));
    }
}
