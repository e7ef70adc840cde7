package org.damasktiller.lab.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.apache.commons.math3.random.RandomGenerator;
import org.damasktiller.lab.load.CallerSimulator;
import org.damasktiller.lab.load.SubmittedTaskBehaviour;
import org.damasktiller.lab.load.TrackedSubmission;
import org.damasktiller.lab.rig.LocalDeployment;
import org.damasktiller.scheduler.model.IngressLimits;
import org.damasktiller.scheduler.model.Manifest;
import org.damasktiller.scheduler.model.Resources;
import org.damasktiller.scheduler.model.Route;
import org.damasktiller.scheduler.model.StepSpec;
import org.damasktiller.scheduler.model.Submission;
import org.damasktiller.scheduler.port.ProcessRuntime;

/** Sends random submissions at random intervals and cancels some of them. */
final class SoakLoad {

    /** The number of failed runs of a task after which its submission fails. */
    static final int MAX_ATTEMPTS = 3;

    /** The probability that a submission is long-running, 0 to 1. */
    static final double LONG_RUNNING_PROBABILITY = 0.05;

    /** The same probability while there is planned work only, which moves long-running tasks. */
    static final double PLANNED_LONG_RUNNING_PROBABILITY = 0.15;

    /**
     * The mean interval between two submissions, in milliseconds; also the interval at which the
     * acceptance of a submission to cancel is checked.
     */
    private static final int MEAN_INTERVAL_MILLIS = 150;

    /**
     * The exclusive upper bound of the time between two submissions that crash their workers, in
     * milliseconds.
     */
    private static final int CRASHING_INTERVAL_BOUND_MILLIS = 12_000;

    /** The maximum estimated duration of a task, in milliseconds. */
    private static final int MAX_TASK_MILLIS = 900;

    /** The maximum number of tasks in a step; also the number of different images. */
    private static final int MAX_TASK_COUNT = 4;

    /** The probability that a submission is cancelled, also of one that is long-running. */
    private static final double CANCEL_PROBABILITY = 0.1;

    /** The exclusive upper bound of the delay until a submission is cancelled, in milliseconds. */
    private static final int CANCEL_DELAY_BOUND_MILLIS = 3_000;

    /**
     * The time that the latency objective of the urgent route adds to the critical path, in
     * milliseconds.
     */
    private static final long URGENT_TARGET_MILLIS = 600;

    /**
     * The time that the latency objective of the batch route adds to the critical path, in
     * milliseconds.
     */
    private static final long BATCH_TARGET_MILLIS = 2_000;

    /** The maximum size of the body of a submission, in bytes. */
    private static final int MAX_BODY_BYTES = 1 << 20;

    /** The time after which an idle connection of a caller is closed, in milliseconds. */
    private static final long IDLE_TIMEOUT_MILLIS = 30_000;

    /** The resources that each task needs: this number of millicores and of megabytes. */
    private static final long TASK_MILLICORES_AND_MEGABYTES = 1_000;

    /** The clock and timers of the event loop. */
    private final ProcessRuntime runtime;

    /** Draws the submissions, their intervals and their cancellation. */
    private final RandomGenerator random;

    /** Sends the submissions and tracks their states. */
    private final CallerSimulator callers;

    /** The manifest with the routes of the submissions. */
    private final Manifest manifest = createManifest();

    /** The probability that a submission is long-running, 0 to 1. */
    private final double longRunningProbability;

    /** Whether the load has stopped. */
    private boolean stopped;

    /**
     * Creates a load that has not started.
     *
     * @param runtime the clock and timers of the event loop
     * @param random the random number generator that draws the load
     * @param callers sends the submissions and tracks their states
     * @param longRunningProbability the probability that a submission is long-running, 0 to 1
     */
    SoakLoad(
            ProcessRuntime runtime,
            RandomGenerator random,
            CallerSimulator callers,
            double longRunningProbability) {
        this.runtime = runtime;
        this.random = random;
        this.callers = callers;
        this.longRunningProbability = longRunningProbability;
    }

    /**
     * Creates the manifest with the routes of the load.
     *
     * @return a manifest with an urgent and a batch route
     */
    static Manifest createManifest() {
        return new Manifest(
                1,
                List.of(
                        createRoute("urgent", 0, URGENT_TARGET_MILLIS),
                        createRoute("batch", 1, BATCH_TARGET_MILLIS)),
                Set.of(LocalDeployment.SERVICE),
                new IngressLimits(MAX_BODY_BYTES, IDLE_TIMEOUT_MILLIS));
    }

    /** Sends submissions at random intervals until {@link #stop()} is called. */
    void run() {
        if (stopped) {
            return;
        }
        sendNext();
        runtime.schedule(random.nextInt(2 * MEAN_INTERVAL_MILLIS), this::run);
    }

    /**
     * Stops sending submissions. Submissions that were sent before are still tracked, and
     * long-running ones continue.
     */
    void stop() {
        stopped = true;
    }

    /**
     * Sends submissions of a task that crashes its workers, until {@link #stop()} is called.
     *
     * @param crashRandom draws the intervals, apart from the other load
     */
    void runCrashingWork(RandomGenerator crashRandom) {
        if (stopped) {
            return;
        }
        callers.send(
                manifest.routes().get(0),
                new Submission(
                        callers.nextId(),
                        SubmittedTaskBehaviour.CRASHING_PAYLOAD,
                        List.of(
                                StepSpec.builder(1, taskResources())
                                        .estimateMillis(MAX_TASK_MILLIS)
                                        .build()),
                        0,
                        0,
                        0));
        runtime.schedule(
                crashRandom.nextInt(CRASHING_INTERVAL_BOUND_MILLIS),
                () -> runCrashingWork(crashRandom));
    }

    /** Draws and sends a submission, and schedules its cancellation if one is drawn. */
    private void sendNext() {
        boolean longRunning = random.nextDouble() < longRunningProbability;
        Route route = manifest.routes().get(random.nextInt(manifest.routes().size()));
        Submission submission =
                new Submission(
                        callers.nextId(),
                        "soak",
                        longRunning ? drawLongRunningSteps() : drawSteps(),
                        0,
                        0,
                        0);
        TrackedSubmission trackedSubmission = callers.send(route, submission);
        if (random.nextDouble() < CANCEL_PROBABILITY) {
            runtime.schedule(
                    random.nextInt(CANCEL_DELAY_BOUND_MILLIS),
                    () -> cancelOnceAccepted(trackedSubmission));
        }
    }

    /**
     * Cancels a submission once it is accepted. One that is settled without acceptance is not
     * cancelled.
     *
     * @param trackedSubmission the submission
     */
    private void cancelOnceAccepted(TrackedSubmission trackedSubmission) {
        if (trackedSubmission.isAccepted()) {
            callers.cancel(trackedSubmission);
        } else if (!trackedSubmission.isSettled()) {
            runtime.schedule(MEAN_INTERVAL_MILLIS, () -> cancelOnceAccepted(trackedSubmission));
        }
    }

    /**
     * Draws the steps of a submission that is not long-running.
     *
     * @return one step, or two of which the second depends on the first
     */
    private List<StepSpec> drawSteps() {
        List<StepSpec> steps = new ArrayList<>();
        steps.add(drawStep(List.of()));
        if (random.nextBoolean()) {
            steps.add(drawStep(List.of(0)));
        }
        return steps;
    }

    /**
     * Draws a step.
     *
     * @param after the numbers of the steps that must complete before this one starts
     * @return the step
     */
    private StepSpec drawStep(List<Integer> after) {
        return StepSpec.builder(1 + random.nextInt(MAX_TASK_COUNT), taskResources())
                .estimateMillis(1L + random.nextInt(MAX_TASK_MILLIS))
                .after(after)
                .filling(random.nextBoolean())
                .image("image-" + random.nextInt(MAX_TASK_COUNT))
                .build();
    }

    /**
     * Draws the step of a long-running submission.
     *
     * @return the step
     */
    private List<StepSpec> drawLongRunningSteps() {
        return List.of(
                StepSpec.builder(1 + random.nextInt(2), taskResources())
                        .lasting(true)
                        .mayMiss(1)
                        .build());
    }

    /**
     * Creates a route for the load.
     *
     * @param name the name of the route
     * @param priority the rank of the route; 0 is the most urgent
     * @param targetMillis the time that the latency objective adds to the critical path, in
     *     milliseconds
     * @return the route
     */
    private static Route createRoute(String name, int priority, long targetMillis) {
        String prefix = '/' + name + '/';
        return new Route(
                name,
                "soak.example",
                prefix,
                LocalDeployment.SERVICE,
                priority,
                MAX_ATTEMPTS,
                2,
                targetMillis,
                false);
    }

    /**
     * Returns the resources that each task needs.
     *
     * @return the resources
     */
    private static Resources taskResources() {
        return new Resources(TASK_MILLICORES_AND_MEGABYTES, TASK_MILLICORES_AND_MEGABYTES, 0);
    }
}
