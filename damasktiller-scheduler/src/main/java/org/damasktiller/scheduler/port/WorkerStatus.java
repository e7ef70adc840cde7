package org.damasktiller.scheduler.port;

/** How a call to a worker ended. */
public enum WorkerStatus {
    /** The call was carried out. */
    OK,
    /** The worker has seen a higher fencing token; nothing was done. */
    FENCED,
    /** The run is not higher than one that was stopped or ended there; nothing was done. */
    OLD_RUN,
    /** The lease that the call names has already expired; nothing was done. */
    EXPIRED,
    /** The task does not fit; nothing was done. */
    NO_ROOM,
    /** The ticket is missing or no longer valid; nothing was done. */
    NO_TICKET,
    /** The worker is unhealthy and refused; nothing was done. */
    BUSY,
    /** Another worker answers at the address; nothing was done. */
    OTHER_WORKER,
    /** The worker does not understand the call; nothing was done. */
    INVALID,
    /** No answer came; the call may be carried out, also later. */
    UNKNOWN
}
