package org.damasktiller.lab.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.apache.commons.math3.random.RandomGenerator;
import org.damasktiller.lab.load.CallerSimulator;
import org.damasktiller.lab.load.TrackedSubmission;
import org.damasktiller.lab.rig.Rig;
import org.damasktiller.scheduler.model.IngressLimits;
import org.damasktiller.scheduler.model.Manifest;
import org.damasktiller.scheduler.model.Resources;
import org.damasktiller.scheduler.model.Route;
import org.damasktiller.scheduler.model.StepSpec;
import org.damasktiller.scheduler.model.Submission;
import org.damasktiller.scheduler.port.ProcessRuntime;

/** Sends submissions of every kind at random moments, and cancels some. */
final class SoakLoad {

    /** How often a task may fail. */
    static final int ATTEMPTS = 3;

    /** The mean time between two submissions, in milliseconds. */
    private static final int INTERVAL_MILLIS = 150;

    /** The longest task, in milliseconds. */
    private static final int LONGEST_TASK_MILLIS = 900;

    /** The most tasks of a step. */
    private static final int MOST_TASKS = 4;

    /** The chance that a submission lasts, which its caller then cancels. */
    private static final double LASTING_CHANCE = 0.05;

    /** The chance that a submission is cancelled. */
    private static final double CANCEL_CHANCE = 0.1;

    /** The longest time until a submission is cancelled, in milliseconds. */
    private static final int LONGEST_CANCEL_MILLIS = 3_000;

    /** What the objective of the urgent route adds to the chain of work, in milliseconds. */
    private static final long URGENT_TARGET_MILLIS = 600;

    /** What the objective of the batch route adds to the chain of work, in milliseconds. */
    private static final long BATCH_TARGET_MILLIS = 2_000;

    /** The largest body of a submission, in bytes. */
    private static final int BODY_BYTES = 1 << 20;

    /** How long a caller's connection may be idle, in milliseconds. */
    private static final long IDLE_MILLIS = 30_000;

    /** The size of a task, in millicores and in megabytes. */
    private static final long TASK_SIZE = 1_000;

    /** The clock and the timers. */
    private final ProcessRuntime runtime;

    /** Draws. */
    private final RandomGenerator random;

    /** The callers. */
    private final CallerSimulator load;

    /** The routes. */
    private final Manifest manifest = manifest();

    /** Whether to send no more. */
    private boolean over;

    /**
     * Creates a load that has not begun.
     *
     * @param runtime the clock and the timers
     * @param random draws
     * @param load the callers
     */
    SoakLoad(ProcessRuntime runtime, RandomGenerator random, CallerSimulator load) {
        this.runtime = runtime;
        this.random = random;
        this.load = load;
    }

    /**
     * Returns the manifest that the load needs.
     *
     * @return a manifest of an urgent and a batch route
     */
    static Manifest manifest() {
        return new Manifest(
                1,
                List.of(
                        route("urgent", 0, URGENT_TARGET_MILLIS),
                        route("batch", 1, BATCH_TARGET_MILLIS)),
                Set.of(Rig.SERVICE),
                new IngressLimits(BODY_BYTES, IDLE_MILLIS));
    }

    /** Sends submissions until it is told to stop. */
    void run() {
        if (over) {
            return;
        }
        sendOne();
        runtime.schedule(random.nextInt(2 * INTERVAL_MILLIS), this::run);
    }

    /** Sends no more; what lasts goes on. */
    void stop() {
        over = true;
    }

    /** Sends a submission. */
    private void sendOne() {
        boolean lasting = random.nextDouble() < LASTING_CHANCE;
        Route route = manifest.routes().get(random.nextInt(manifest.routes().size()));
        Submission submission =
                new Submission(load.nextId(), "soak", lasting ? lasting() : steps(), 0, 0, 0);
        TrackedSubmission item = load.send(route, submission);
        if (random.nextDouble() < CANCEL_CHANCE) {
            runtime.schedule(random.nextInt(LONGEST_CANCEL_MILLIS), () -> cancelOnceAccepted(item));
        }
    }

    /**
     * Cancels a submission once it is accepted.
     *
     * @param item the submission
     */
    private void cancelOnceAccepted(TrackedSubmission item) {
        if (item.isAccepted()) {
            load.cancel(item);
        } else if (!item.isSettled()) {
            runtime.schedule(INTERVAL_MILLIS, () -> cancelOnceAccepted(item));
        }
    }

    /**
     * Draws the steps of a submission that ends.
     *
     * @return one step, or two of which the second waits for the first
     */
    private List<StepSpec> steps() {
        List<StepSpec> steps = new ArrayList<>();
        steps.add(step(List.of()));
        if (random.nextBoolean()) {
            steps.add(step(List.of(0)));
        }
        return steps;
    }

    /**
     * Draws a step.
     *
     * @param after the numbers of the steps that must be done first
     * @return the step
     */
    private StepSpec step(List<Integer> after) {
        return StepSpec.builder(1 + random.nextInt(MOST_TASKS), size())
                .estimateMillis(1L + random.nextInt(LONGEST_TASK_MILLIS))
                .after(after)
                .filling(random.nextBoolean())
                .image("image-" + random.nextInt(MOST_TASKS))
                .build();
    }

    /**
     * Draws the step of a submission that lasts.
     *
     * @return the step
     */
    private List<StepSpec> lasting() {
        return List.of(
                StepSpec.builder(1 + random.nextInt(2), size()).lasting(true).mayMiss(1).build());
    }

    /**
     * Makes a route.
     *
     * @param name its name
     * @param priority its rank, 0 the most urgent
     * @param targetMillis what its objective adds to the chain of work, in milliseconds
     * @return the route
     */
    private static Route route(String name, int priority, long targetMillis) {
        String prefix = '/' + name + '/';
        return new Route(
                name,
                "soak.example",
                prefix,
                Rig.SERVICE,
                priority,
                ATTEMPTS,
                2,
                targetMillis,
                false);
    }

    /**
     * Returns the size of a task.
     *
     * @return the resources
     */
    private static Resources size() {
        return new Resources(TASK_SIZE, TASK_SIZE, 0);
    }
}
