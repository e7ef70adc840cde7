package org.damasktiller.standin.cell;

/** Lists what can go wrong at one call of an owner to the store or to a worker. */
public enum CallFault {
    /** Nothing goes wrong. */
    NONE,
    /** The owner's process dies before the call is sent. */
    CRASH_BEFORE,
    /** The owner's process dies after the call was carried out, before the answer arrives. */
    CRASH_AFTER,
    /** The owner is paused for longer than its leases after it decided on the call. */
    PAUSE_BEFORE,
    /** The owner is paused for longer than its leases before it takes the answer. */
    PAUSE_AFTER,
    /** The call is lost. */
    LOST_CALL,
    /** The call is carried out and its answer is lost. */
    LOST_ANSWER,
    /** The call is carried out after the owner has given up waiting. */
    LATE_CALL,
    /** The answer arrives after the owner has given up waiting. */
    LATE_ANSWER,
    /** The answer arrives after answers to later calls. */
    REORDERED_ANSWER,
    /** The call is carried out a second time, late. */
    DUPLICATED_CALL,
    /** The answer arrives twice, the second time late. */
    DUPLICATED_ANSWER,
    /** The store answers nobody for a while. */
    STORE_DOWN,
    /** The store answers slowly for a while. */
    STORE_SLOW,
    /** The owner is cut off from the store for a while. */
    STORE_PARTITION,
    /** The owner is cut off from the worker, or from all workers, for a while. */
    WORKER_PARTITION,
    /** The worker, or the first one, starts anew with an empty memory. */
    WORKER_RESTART,
    /** The worker, or the first one, is gone for good, which the list shows later. */
    WORKER_GONE
}
