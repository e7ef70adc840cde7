package org.damasktiller.standin.metadata;

/** The fault that affects a simulated call. */
public enum CallFate {
    /** No fault: the call is executed and answered. */
    ANSWERED,
    /** The call is refused and not executed. */
    REFUSED,
    /** The request is lost: the call is not executed, and the caller gets no answer. */
    LOST,
    /** The answer is lost: the call is executed, but the caller gets no answer. */
    ANSWER_LOST,
    /** The request is late: the call is executed seconds later, but the caller gets no answer. */
    LATE
}
