package org.damasktiller.verification.owner;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.damasktiller.scheduler.model.Resources;
import org.damasktiller.scheduler.model.StepSpec;
import org.damasktiller.scheduler.model.StepSpecBuilder;
import org.damasktiller.scheduler.model.Submission;

/** Draws submissions of all kinds for a simulated cell, of which they use less than half. */
final class WaitingWork {

    /** The number of steps of time of which one has a submission. */
    private static final int STEPS_PER_SUBMISSION = 4;

    /** The greatest number of long-running submissions at the beginning. */
    private static final int LONG_RUNNING_COUNT = 3;

    /** The cell. */
    private final CellSimulation simulation;

    /** Selects the work. */
    private final SplittableRandom random;

    /** The number of workers. */
    private final int workerCount;

    /** The identifiers of the submissions that may be cancelled. */
    private final List<String> cancellable = new ArrayList<>();

    /** The number of submissions. */
    private int count;

    /**
     * Creates the work of a case.
     *
     * @param simulation the cell
     * @param random selects the work
     * @param workerCount the number of workers
     */
    WaitingWork(CellSimulation simulation, SplittableRandom random, int workerCount) {
        this.simulation = simulation;
        this.random = random;
        this.workerCount = workerCount;
    }

    /** Submits long-running tasks that need up to a third of the cell together. */
    void submitLongRunning() {
        for (int number = 0; number < LONG_RUNNING_COUNT; number++) {
            StepSpecBuilder step =
                    builder(random.nextInt(1, 2 + workerCount / 2)).lasting(true).mayMiss(1);
            if (random.nextBoolean()) {
                step.targetMillis(50).image("serving");
            }
            constrain(step);
            submit(step.build());
        }
    }

    /** Draws whether a submission comes and whether one is cancelled. */
    void draw() {
        if (random.nextInt(STEPS_PER_SUBMISSION) == 0) {
            submitShort();
        }
        if (!cancellable.isEmpty() && random.nextInt(10 * STEPS_PER_SUBMISSION) == 0) {
            simulation.cancel(cancellable.remove(random.nextInt(cancellable.size())));
        }
    }

    /** Submits tasks that fail. */
    void submitFailing() {
        simulation.failingSubmissions.add(submit(builder(random.nextInt(1, 4)).build()));
    }

    /** Submits a task that crashes its workers. */
    void submitCrashing() {
        if (simulation.crashingSubmissions.size() < 2) {
            simulation.crashingSubmissions.add(submit(builder(1).build()));
        }
    }

    /** Cancels the submissions of tasks that fail or crash their workers. */
    void cancelFaulty() {
        simulation.failingSubmissions.forEach(simulation::cancel);
        simulation.crashingSubmissions.forEach(simulation::cancel);
    }

    /** Submits a step of short tasks, a gang, fillers, two steps, or occurrences. */
    private void submitShort() {
        boolean wide = random.nextInt(5) == 0;
        int tasks = wide ? random.nextInt(1, 1 + 2 * workerCount) : random.nextInt(1, 5);
        StepSpecBuilder step = builder(tasks).copiesAllowed(random.nextBoolean());
        constrain(step);
        switch (random.nextInt(5)) {
            case 0 -> submit(step.gang(true).copiesAllowed(false).build());
            case 1 -> submit(step.filling(true).image("filler").build());
            case 2 -> {
                StepSpec later = builder(random.nextInt(1, 4)).after(List.of(0)).build();
                submit(step.build(), later);
            }
            case 3 -> simulation.submitRepeated(nextId(), 4, 2_500, step.build());
            default -> submit(step.build());
        }
    }

    /**
     * Creates a builder of a step whose tasks need a part of a worker.
     *
     * @param tasks the number of tasks
     * @return the builder
     */
    private StepSpecBuilder builder(int tasks) {
        long need = random.nextInt(1, 4) * 500L;
        return StepSpec.builder(tasks, new Resources(need, need, 0)).estimateMillis(400);
    }

    /**
     * Draws whether a step has a label and a limit for each worker.
     *
     * @param step the builder of the step
     */
    private void constrain(StepSpecBuilder step) {
        if (random.nextInt(3) == 0) {
            step.requiredLabel(random.nextBoolean() ? "special" : "plain");
        }
        if (random.nextInt(3) == 0) {
            step.maximumPerWorker(random.nextInt(1, 3));
        }
    }

    /**
     * Submits steps, which may be cancelled later.
     *
     * @param steps the steps
     * @return the identifier of the submission
     */
    private String submit(StepSpec... steps) {
        String id = nextId();
        simulation.submit(new Submission(id, "payload", List.of(steps), 0, 0, 0));
        cancellable.add(id);
        return id;
    }

    /**
     * Returns the identifier of the next submission.
     *
     * @return the identifier
     */
    private String nextId() {
        return String.format("%016x", 0x1000 + count++);
    }
}
