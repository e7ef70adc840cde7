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
 * Callers: each hands a submission in at entry VMs drawn at random, tries again until it is
 * acknowledged or the tries are used up, and asks for its state until that is final.
 */
public final class CallerLoad {

    /** How often a caller tries to hand a submission in. */
    private static final int MOST_TRIES = 40;

    /** The time between two tries and between two questions, in milliseconds. */
    private static final long RETRY_MILLIS = 400;

    /** The chance that a submission which was acknowledged arrives once more. */
    private static final double REPEAT_CHANCE = 0.05;

    /** How much later it arrives once more, in milliseconds. */
    private static final long REPEAT_MILLIS = 2_500;

    /** The clock and the timers. */
    private final ProcessRuntime runtime;

    /** Makes the calls. */
    private final CallerClient client;

    /** The callers' addresses of the entry VMs. */
    private final List<InetSocketAddress> entryVms;

    /** Draws. */
    private final RandomGenerator random;

    /** Tells the workers how the tasks behave. */
    private final SubmittedWork work;

    /** Every submission, in the order of creation. */
    private final List<WorkItem> items = new ArrayList<>();

    /** What callers saw and must never see. */
    private final List<String> violations = new ArrayList<>();

    /**
     * Creates callers that have not sent anything.
     *
     * @param runtime the clock and the timers
     * @param client makes the calls
     * @param entryVms the callers' addresses of the entry VMs
     * @param random draws
     * @param work tells the workers how the tasks behave
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
     * Returns an identifier that no submission has.
     *
     * @return 16 hexadecimal digits
     */
    public String nextId() {
        return String.format("%016x", random.nextLong());
    }

    /**
     * Hands a submission in and follows it.
     *
     * @param route the route
     * @param submission the submission
     * @return what its caller knows of it
     */
    public WorkItem send(Route route, Submission submission) {
        WorkItem item = new WorkItem(submission, route);
        items.add(item);
        work.add(submission);
        submit(item, 1);
        return item;
    }

    /**
     * Cancels a submission; it is asked for until an answer comes.
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
     * Returns every submission.
     *
     * @return the submissions
     */
    public List<WorkItem> items() {
        return items;
    }

    /**
     * Returns what callers saw and must never see.
     *
     * @return a line for each
     */
    public List<String> violations() {
        return violations;
    }

    /**
     * Tries to hand a submission in.
     *
     * @param item the submission
     * @param tries the number of this try
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
                                violations.add(item.submission().id() + ": 410 to a submission");
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
     * Notes that a try was not acknowledged, and tries again if tries are left.
     *
     * @param item the submission
     * @param tries the number of the try
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
     * Notes that a submission was acknowledged.
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
     * Asks for the state of a submission until it is final.
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
                        violations.add(item.submission().id() + ": unknown after acceptance");
                    } else if (state != null) {
                        item.tell(state);
                    }
                    if (!item.settled()) {
                        runtime.schedule(RETRY_MILLIS, () -> ask(item));
                    }
                });
    }

    /**
     * Draws an entry VM.
     *
     * @return its callers' address
     */
    private InetSocketAddress entryVm() {
        return entryVms.get(random.nextInt(entryVms.size()));
    }
}
