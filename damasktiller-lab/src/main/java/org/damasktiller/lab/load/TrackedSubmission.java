package org.damasktiller.lab.load;

import org.damasktiller.scheduler.model.Route;
import org.damasktiller.scheduler.model.Submission;
import org.damasktiller.scheduler.model.SubmissionState;
import org.jspecify.annotations.Nullable;

/** The caller's view of one submission, derived from the replies of the entry VMs. */
public final class TrackedSubmission {

    /** The submission. */
    private final Submission submission;

    /** The route to which it is sent. */
    private final Route route;

    /** Whether an entry VM has acknowledged the submission. */
    private boolean accepted;

    /** Whether the caller has given up and every attempt was refused. */
    private boolean refused;

    /** Whether the caller has given up and an attempt without an answer may have been accepted. */
    private boolean outcomeUnknown;

    /** Whether the caller has requested the cancellation. */
    private boolean cancelRequested;

    /** Whether an attempt got no answer, so that the submission may have been accepted. */
    private boolean unanswered;

    /** The last reported state, null before the first report. */
    private @Nullable SubmissionState state;

    /**
     * Creates the view of a submission that has not been sent.
     *
     * @param submission the submission
     * @param route the route to which it is sent
     */
    TrackedSubmission(Submission submission, Route route) {
        this.submission = submission;
        this.route = route;
    }

    /**
     * Returns the submission.
     *
     * @return the submission
     */
    public Submission submission() {
        return submission;
    }

    /**
     * Returns the route to which the submission is sent.
     *
     * @return the route
     */
    public Route route() {
        return route;
    }

    /**
     * Returns whether an entry VM has acknowledged the submission.
     *
     * @return whether it was acknowledged
     */
    public boolean isAccepted() {
        return accepted;
    }

    /**
     * Returns whether the caller has given up and every attempt was refused, so that the submission
     * must never run.
     *
     * @return whether it was refused
     */
    public boolean isRefused() {
        return refused;
    }

    /**
     * Returns whether the caller has requested the cancellation.
     *
     * @return whether it was requested
     */
    public boolean isCancelRequested() {
        return cancelRequested;
    }

    /**
     * Returns the last reported state.
     *
     * @return the state, or null before the first report
     */
    public @Nullable SubmissionState state() {
        return state;
    }

    /**
     * Returns whether the caller expects no further reply: it has given up, or the last reported
     * state is final.
     *
     * @return whether no further reply is expected
     */
    public boolean isSettled() {
        SubmissionState reportedState = state;
        return refused || outcomeUnknown || (reportedState != null && reportedState.isFinal());
    }

    /** Records the acknowledgement. */
    void markAccepted() {
        accepted = true;
    }

    /** Records that an attempt got no answer. */
    void markUnanswered() {
        unanswered = true;
    }

    /** Records that the caller has given up after the last attempt. */
    void markGivenUp() {
        refused = !unanswered;
        outcomeUnknown = unanswered;
    }

    /** Records that the caller has requested the cancellation. */
    void markCancelRequested() {
        cancelRequested = true;
    }

    /**
     * Records a reported state.
     *
     * @param reportedState the state
     */
    void updateState(SubmissionState reportedState) {
        state = reportedState;
    }
}
