package org.damasktiller.lab.load;

import org.damasktiller.scheduler.model.Route;
import org.damasktiller.scheduler.model.Submission;
import org.damasktiller.scheduler.model.SubmissionState;
import org.jspecify.annotations.Nullable;

/** What a caller knows of one submission. */
public final class WorkItem {

    /** The submission. */
    private final Submission submission;

    /** The route that it was handed in on. */
    private final Route route;

    /** Whether an entry VM has acknowledged it. */
    private boolean accepted;

    /** Whether every try was refused and the caller has given up. */
    private boolean refused;

    /** Whether the caller has given up without knowing whether it was accepted. */
    private boolean unknown;

    /** Whether the caller has asked to cancel it. */
    private boolean cancelAsked;

    /** Whether a try got no answer, so that it may have been accepted. */
    private boolean unanswered;

    /** The last state that was told, null before the first. */
    private @Nullable SubmissionState state;

    /**
     * Creates an item that has not been handed in yet.
     *
     * @param submission the submission
     * @param route the route
     */
    WorkItem(Submission submission, Route route) {
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
     * Returns the route.
     *
     * @return the route
     */
    public Route route() {
        return route;
    }

    /**
     * Tells whether it was acknowledged.
     *
     * @return whether it was
     */
    public boolean accepted() {
        return accepted;
    }

    /**
     * Tells whether every try was refused.
     *
     * @return whether each was
     */
    public boolean refused() {
        return refused;
    }

    /**
     * Tells whether the caller asked to cancel it.
     *
     * @return whether it did
     */
    public boolean cancelAsked() {
        return cancelAsked;
    }

    /**
     * Returns the last state that was told.
     *
     * @return the state, or null before the first
     */
    public @Nullable SubmissionState state() {
        return state;
    }

    /**
     * Tells whether nothing more is expected: it was refused, given up, or has reached a final
     * state.
     *
     * @return whether nothing is
     */
    public boolean settled() {
        SubmissionState told = state;
        return refused || unknown || (told != null && told.isFinal());
    }

    /** Notes the acknowledgement. */
    void accept() {
        accepted = true;
    }

    /** Notes that a try got no answer. */
    void missAnswer() {
        unanswered = true;
    }

    /** Notes that the caller hands it in no more. */
    void giveUp() {
        refused = !unanswered;
        unknown = unanswered;
    }

    /** Notes that the caller asks to cancel it. */
    void askCancel() {
        cancelAsked = true;
    }

    /**
     * Notes a state.
     *
     * @param told the state
     */
    void tell(SubmissionState told) {
        state = told;
    }
}
