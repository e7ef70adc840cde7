package org.damasktiller.error;

import org.jspecify.annotations.Nullable;

/**
 * Reports a failed operation with its error code, the peer involved and whether the work was run.
 */
public class DamasktillerException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    /** The documented code of the error. */
    private final ErrorCode code;

    /** The operation that failed. */
    private final Operation operation;

    /** The service, address or file involved, or an empty string if there was none. */
    private final String peer;

    /** Whether the work of the failed request was run. */
    private final Outcome outcome;

    /**
     * Creates an exception without a cause.
     *
     * @param code the documented code of the error
     * @param operation the operation that failed
     * @param peer the service, address or file involved, or an empty string if there was none
     * @param outcome whether the work of the failed request was run
     * @param message what happened and which input or state is allowed
     */
    public DamasktillerException(
            ErrorCode code, Operation operation, String peer, Outcome outcome, String message) {
        this(code, operation, peer, outcome, message, null);
    }

    /**
     * Creates an exception with a cause.
     *
     * @param code the documented code of the error
     * @param operation the operation that failed
     * @param peer the service, address or file involved, or an empty string if there was none
     * @param outcome whether the work of the failed request was run
     * @param message what happened and which input or state is allowed
     * @param cause the underlying error, or null if there is none
     */
    public DamasktillerException(
            ErrorCode code,
            Operation operation,
            String peer,
            Outcome outcome,
            String message,
            @Nullable Throwable cause) {
        super(message, cause);
        this.code = code;
        this.operation = operation;
        this.peer = peer;
        this.outcome = outcome;
    }

    /**
     * Returns the documented code of the error.
     *
     * @return the error code
     */
    public ErrorCode code() {
        return code;
    }

    /**
     * Returns the operation that failed.
     *
     * @return the failed operation
     */
    public Operation operation() {
        return operation;
    }

    /**
     * Returns the service, address or file that the failed operation involved.
     *
     * @return the peer, or an empty string if there was none
     */
    public String peer() {
        return peer;
    }

    /**
     * Returns whether the work of the failed request was run.
     *
     * @return the outcome
     */
    public Outcome outcome() {
        return outcome;
    }
}
