package org.damasktiller.worker;

/** Tells why a worker refused a command. */
public enum RefusalReason {
    /** The worker saw a higher generation. */
    LOWER_GENERATION,
    /** The permit has expired on the worker's clock. */
    EXPIRED_PERMIT,
    /** The stamp belongs to an earlier process of the worker. */
    OTHER_INCARNATION,
    /** No fence of this generation has reached the worker. */
    NOT_FENCED
}
