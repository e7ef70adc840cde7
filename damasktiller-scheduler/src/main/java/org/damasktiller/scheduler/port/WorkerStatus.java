package org.damasktiller.scheduler.port;

/** The status of a call to a worker. Logged under the constant's name. */
public enum WorkerStatus {
    /** The call was executed. */
    OK,
    /** The worker has seen a higher fencing token; the call was not executed. */
    FENCED,
    /**
     * A run of the same task with the same or a higher number has already ended or been stopped on
     * the worker; the call was not executed.
     */
    OLD_RUN,
    /** The requested lease has already expired on the worker's clock; the call was not executed. */
    EXPIRED,
    /** The free resources of the worker are too small for the task; the call was not executed. */
    NO_ROOM,
    /** The ticket is missing or no longer valid; the call was not executed. */
    NO_TICKET,
    /** The worker is unhealthy or could not be reached; the call was not executed. */
    BUSY,
    /** Another worker uses the address; the call was not executed. */
    OTHER_WORKER,
    /** The worker considers the call invalid; the call was not executed. */
    INVALID,
    /** No answer arrived; the call may have been executed or may still be executed later. */
    UNKNOWN
}
