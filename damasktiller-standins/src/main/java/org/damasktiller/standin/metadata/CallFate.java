package org.damasktiller.standin.metadata;

/** What becomes of a call. */
public enum CallFate {
    /** It is carried out and answered. */
    ANSWERED,
    /** It is refused; nothing is done. */
    REFUSED,
    /** It is lost on the way; nothing is done, and no answer comes. */
    LOST,
    /** It is carried out, and its answer is lost. */
    ANSWER_LOST,
    /** No answer comes, and it is carried out seconds later. */
    LATE
}
