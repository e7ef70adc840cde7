package org.damasktiller.error;

import org.jspecify.annotations.Nullable;

/** Reports a failed step with its code, the peer concerned and whether the work was run. */
public class DamasktillerException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    /** The code of the error. */
    private final ErrorCode code;

    /** The step at which the error arose. */
    private final Step step;

    /** The peer with which the step was taken, or an empty text if there was none. */
    private final String peer;

    /** Whether the work was run. */
    private final Outcome outcome;

    /**
     * Creates an error.
     *
     * @param code the code of the error
     * @param step the step at which it arose
     * @param peer the peer concerned, or an empty text
     * @param outcome whether the work was run
     * @param message what happened and what is allowed
     */
    public DamasktillerException(
            ErrorCode code, Step step, String peer, Outcome outcome, String message) {
        this(code, step, peer, outcome, message, null);
    }

    /**
     * Creates an error with a cause.
     *
     * @param code the code of the error
     * @param step the step at which it arose
     * @param peer the peer concerned, or an empty text
     * @param outcome whether the work was run
     * @param message what happened and what is allowed
     * @param cause the error beneath, or null
     */
    public DamasktillerException(
            ErrorCode code,
            Step step,
            String peer,
            Outcome outcome,
            String message,
            @Nullable Throwable cause) {
        super(message, cause);
        this.code = code;
        this.step = step;
        this.peer = peer;
        this.outcome = outcome;
    }

    /**
     * Returns the code of the error.
     *
     * @return the code
     */
    public ErrorCode code() {
        return code;
    }

    /**
     * Returns the step at which the error arose.
     *
     * @return the step
     */
    public Step step() {
        return step;
    }

    /**
     * Returns the peer with which the step was taken.
     *
     * @return the peer, or an empty text
     */
    public String peer() {
        return peer;
    }

    /**
     * Returns whether the work was run.
     *
     * @return the outcome
     */
    public Outcome outcome() {
        return outcome;
    }
}
