package org.damasktiller.lab.load;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import org.apache.commons.math3.random.RandomGenerator;
import org.damasktiller.platform.emulator.CallOutcome;
import org.damasktiller.platform.emulator.CallerClient;
import org.damasktiller.scheduler.model.Route;
import org.damasktiller.scheduler.model.Submission;
import org.damasktiller.scheduler.model.SubmissionState;
import org.damasktiller.scheduler.port.ProcessRuntime;

/**
 * Simulates the callers of the entry VMs. Each submission is sent to a random entry VM and retried
 * at random ones until it is acknowledged or the attempts are used up. Once it is acknowledged, its
 * state is polled until it is final.
 */
public final class CallerSimulator {

    /** The maximum number of attempts to send a submission. */
    private static final int MAXIMUM_ATTEMPTS = 40;

    /** The time between two attempts and between two polls of a state, in milliseconds. */
    private static final long RETRY_INTERVAL_MILLIS = 400;

    /** The probability that a submission is sent again after it was acknowledged, 0 to 1. */
    private static final double RESEND_PROBABILITY = 0.05;

    /** The time from the acknowledgement until a submission is sent again, in milliseconds. */
    private static final long RESEND_DELAY_MILLIS = 2_500;

    /** Schedules retries and polls. */
    private final ProcessRuntime runtime;

    /** Sends the requests to the entry VMs. */
    private final CallerClient client;

    /** The addresses at which the entry VMs accept callers. */
    private final List<InetSocketAddress> entryVms;

    /** The source of identifiers, entry VMs and repeated submissions. */
    private final RandomGenerator random;

    /** Determines the behaviour of the submitted tasks on the simulated workers. */
    private final SubmittedTaskBehaviour taskBehaviour;

    /** All submissions, in the order in which they were first sent. */
    private final List<TrackedSubmission> submissions = new ArrayList<>();

    /** The replies that violate a guarantee to callers, one line each. */
    private final List<String> violations = new ArrayList<>();

    /**
     * Creates callers that have not sent anything.
     *
     * @param runtime schedules retries and polls
     * @param client sends the requests to the entry VMs
     * @param entryVms the addresses at which the entry VMs accept callers
     * @param random the source of identifiers, entry VMs and repeated submissions
     * @param taskBehaviour determines the behaviour of the submitted tasks on the simulated workers
     */
    public CallerSimulator(
            ProcessRuntime runtime,
            CallerClient client,
            List<InetSocketAddress> entryVms,
            RandomGenerator random,
            SubmittedTaskBehaviour taskBehaviour) {
        this.runtime = runtime;
        this.client = client;
        this.entryVms = List.copyOf(entryVms);
        this.random = random;
        this.taskBehaviour = taskBehaviour;
    }

    /**
     * Draws a random 64-bit identifier for a new submission.
     *
     * @return 16 hexadecimal digits
     */
    public String nextId() {
        return String.format("%016x", random.nextLong());
    }

    /**
     * Sends a submission, retries it until it is acknowledged, and polls its state.
     *
     * @param route the route to which it is sent
     * @param submission the submission
     * @return the caller's view of the submission, which is updated by each reply
     */
    public TrackedSubmission send(Route route, Submission submission) {
        TrackedSubmission tracked = new TrackedSubmission(submission, route);
        submissions.add(tracked);
        taskBehaviour.add(submission);
        submit(tracked, 1);
        return tracked;
    }

    /**
     * Cancels a submission. The request is retried without limit while it is refused or gets no
     * answer.
     *
     * @param tracked the submission
     */
    public void cancel(TrackedSubmission tracked) {
        tracked.markCancelRequested();
        client.cancel(
                randomEntryVm(),
                tracked.route(),
                tracked.submission().id(),
                outcome -> {
                    if (outcome == CallOutcome.NO_ANSWER || outcome == CallOutcome.REFUSED) {
                        runtime.schedule(RETRY_INTERVAL_MILLIS, () -> cancel(tracked));
                    }
                });
    }

    /**
     * Returns all submissions, in the order in which they were first sent.
     *
     * @return the live list
     */
    public List<TrackedSubmission> submissions() {
        return submissions;
    }

    /**
     * Returns the replies that violate a guarantee to callers.
     *
     * @return the live list, one line per violation
     */
    public List<String> violations() {
        return violations;
    }

    /**
     * Sends a submission to a random entry VM.
     *
     * @param tracked the submission
     * @param attempt the number of this attempt, 1 for the first
     */
    private void submit(TrackedSubmission tracked, int attempt) {
        client.submit(
                randomEntryVm(),
                tracked.route(),
                tracked.submission(),
                outcome -> {
                    switch (outcome) {
                        case DONE -> handleAccepted(tracked);
                        case UNKNOWN_SUBMISSION ->
                                violations.add(
                                        tracked.submission().id()
                                                + ": submit request answered with 410 Gone");
                        default -> {
                            if (outcome == CallOutcome.NO_ANSWER) {
                                tracked.markUnanswered();
                            }
                            retryOrGiveUp(tracked, attempt);
                        }
                    }
                });
    }

    /**
     * Handles an attempt that was not acknowledged: schedules the next one, or gives up after the
     * last. Does nothing if an earlier attempt was acknowledged.
     *
     * @param tracked the submission
     * @param attempt the number of the attempt, 1 for the first
     */
    private void retryOrGiveUp(TrackedSubmission tracked, int attempt) {
        if (tracked.isAccepted()) {
            return;
        }
        if (attempt >= MAXIMUM_ATTEMPTS) {
            tracked.markGivenUp();
            return;
        }
        runtime.schedule(RETRY_INTERVAL_MILLIS, () -> submit(tracked, attempt + 1));
    }

    /**
     * Handles the acknowledgement of a submission: starts to poll its state, and with {@link
     * #RESEND_PROBABILITY} sends a duplicate later. Does nothing if it was acknowledged before.
     *
     * @param tracked the submission
     */
    private void handleAccepted(TrackedSubmission tracked) {
        if (!tracked.isAccepted()) {
            tracked.markAccepted();
            runtime.schedule(RETRY_INTERVAL_MILLIS, () -> pollState(tracked));
            if (random.nextDouble() < RESEND_PROBABILITY) {
                runtime.schedule(RESEND_DELAY_MILLIS, () -> submit(tracked, MAXIMUM_ATTEMPTS));
            }
        }
    }

    /**
     * Polls the state of a submission until it is final.
     *
     * @param tracked the submission
     */
    private void pollState(TrackedSubmission tracked) {
        client.state(
                randomEntryVm(),
                tracked.route(),
                tracked.submission().id(),
                answer -> {
                    SubmissionState state = answer.state();
                    if (answer.outcome() == CallOutcome.UNKNOWN_SUBMISSION) {
                        violations.add(
                                tracked.submission().id()
                                        + ": reported as unknown after it was accepted");
                    } else if (state != null) {
                        tracked.updateState(state);
                    }
                    if (!tracked.isSettled()) {
                        runtime.schedule(RETRY_INTERVAL_MILLIS, () -> pollState(tracked));
                    }
                });
    }

    /**
     * Draws a random entry VM.
     *
     * @return the address at which it accepts callers
     */
    private InetSocketAddress randomEntryVm() {
        return entryVms.get(random.nextInt(entryVms.size()));
    }
}
