package org.damasktiller.node.intake;

import org.damasktiller.error.DamasktillerException;
import org.damasktiller.error.ErrorCode;
import org.damasktiller.error.Operation;
import org.damasktiller.error.Outcome;

/** Signals that the body of a request was not read to its end. The request had no effect. */
public final class BodyRejectedException extends DamasktillerException {

    private static final long serialVersionUID = 1L;

    /** Why the body was not read to its end. */
    private final BodyRejection rejection;

    /**
     * Creates an exception.
     *
     * @param rejection why the body was not read to its end
     */
    BodyRejectedException(BodyRejection rejection) {
        super(
                rejection == BodyRejection.TOO_LARGE
                        ? ErrorCode.BODY_TOO_LARGE
                        : ErrorCode.OVERLOADED,
                Operation.ACCEPT,
                "",
                Outcome.NOT_RUN,
                "the body was not read to its end: " + rejection);
        this.rejection = rejection;
    }

    /**
     * Returns why the body was not read to its end.
     *
     * @return the reason
     */
    public BodyRejection rejection() {
        return rejection;
    }
}
