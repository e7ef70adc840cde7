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
public final class CallerLoad {

    /** The maximum number of attempts to send a submission. */
    private static final int MOST_TRIES = 40;

    /** The time between two attempts and between two polls of a state, in milliseconds. */
    private static final long RETRY_MILLIS = 400;

    /** The probability that a submission is sent again after it was acknowledged, 0 to 1. */
    private static final double REPEAT_CHANCE = 0.05;

    /** The time from the acknowledgement until a submission is sent again, in milliseconds. */
    private static final long REPEAT_MILLIS = 2_500;

    /** Schedules retries and polls. */
    private final ProcessRuntime runtime;

    /** Sends the requests to the entry VMs. */
    private final CallerClient client;

    /** The addresses at which the entry VMs accept callers. */
    private final List<InetSocketAddress> entryVms;

    /** The source of identifiers, entry VMs and repeated submissions. */
    private final RandomGenerator random;

    /** Determines the behaviour of the submitted tasks on the simulated workers. */
    private final SubmittedWork work;

    /** All submissions, in the order in which they were first sent. */
    private final List<WorkItem> items = new ArrayList<>();

    /** The replies that violate a guarantee to callers, one line each. */
    private final List<String> violations = new ArrayList<>();

    /**
     * Creates callers that have not sent anything.
     *
     * @param runtime schedules retries and polls
     * @param client sends the requests to the entry VMs
     * @param entryVms the addresses at which the entry VMs accept callers
     * @param random the source of identifiers, entry VMs and repeated submissions
     * @param work determines the behaviour of the submitted tasks on the simulated workers
     */
    public CallerLoad(
            ProcessRuntime runtime,
            CallerClient client,
            List<InetSocketAddress> entryVms,
            RandomGenerator random,
            SubmittedWork work) {
        this.runtime = runtime;
        this.client = client;
        this.entryVms = List.copyOf(entryVms);
        this.random = random;
        this.work = work;
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
    public WorkItem send(Route route, Submission submission) {
        WorkItem item = new WorkItem(submission, route);
        items.add(item);
        work.add(submission);
        submit(item, 1);
        return item;
    }

    /**
     * Cancels a submission. The request is retried without limit while it is refused or gets no
     * answer.
     *
     * @param item the submission
     */
    public void cancel(WorkItem item) {
        item.askCancel();
        client.cancel(
                entryVm(),
                item.route(),
                item.submission().id(),
                outcome -> {
                    if (outcome == CallOutcome.NO_ANSWER || outcome == CallOutcome.REFUSED) {
                        runtime.schedule(RETRY_MILLIS, () -> cancel(item));
                    }
                });
    }

    /**
     * Returns all submissions, in the order in which they were first sent.
     *
     * @return the live list
     */
    public List<WorkItem> items() {
        return items;
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
     * @param item the submission
     * @param tries the number of this attempt, 1 for the first
     */
    private void submit(WorkItem item, int tries) {
        client.submit(
                entryVm(),
                item.route(),
                item.submission(),
                outcome -> {
                    switch (outcome) {
                        case DONE -> accepted(item);
                        case UNKNOWN_SUBMISSION ->
                                violations.add(
                                        item.submission().id()
                                                + ": submit request answered with 410 (unknown"
                                                + " submission)");
                        default -> {
                            if (outcome == CallOutcome.NO_ANSWER) {
                                item.missAnswer();
                            }
                            again(item, tries);
                        }
                    }
                });
    }

    /**
     * Handles an attempt that was not acknowledged: schedules the next one, or gives up after the
     * last. Does nothing if an earlier attempt was acknowledged.
     *
     * @param item the submission
     * @param tries the number of the attempt, 1 for the first
     */
    private void again(WorkItem item, int tries) {
        if (item.accepted()) {
            return;
        }
        if (tries >= MOST_TRIES) {
            item.giveUp();
            return;
        }
        runtime.schedule(RETRY_MILLIS, () -> submit(item, tries + 1));
    }

    /**
     * Handles the acknowledgement of a submission: starts to poll its state, and with a small
     * probability sends it once more to check that submitting is idempotent.
     *
     * @param item the submission
     */
    private void accepted(WorkItem item) {
        if (!item.accepted()) {
            item.accept();
            runtime.schedule(RETRY_MILLIS, () -> ask(item));
            if (random.nextDouble() < REPEAT_CHANCE) {
                runtime.schedule(REPEAT_MILLIS, () -> submit(item, MOST_TRIES));
            }
        }
    }

    /**
     * Polls the state of a submission until it is final.
     *
     * @param item the submission
     */
    private void ask(WorkItem item) {
        client.state(
                entryVm(),
                item.route(),
                item.submission().id(),
                answer -> {
                    SubmissionState state = answer.state();
                    if (answer.outcome() == CallOutcome.UNKNOWN_SUBMISSION) {
                        violations.add(
                                item.submission().id()
                                        + ": reported as unknown after it was accepted");
                    } else if (state != null) {
                        item.tell(state);
                    }
                    if (!item.settled()) {
                        runtime.schedule(RETRY_MILLIS, () -> ask(item));
                    }
                });
    }

    /**
     * Draws a random entry VM.
     *
     * @return the address at which it accepts callers
     */
    private InetSocketAddress entryVm() {
        return entryVms.get(random.nextInt(entryVms.size()));
    }
}
