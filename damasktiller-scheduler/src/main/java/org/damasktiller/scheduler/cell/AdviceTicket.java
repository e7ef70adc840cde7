package org.damasktiller.scheduler.cell;

/**
 * A ticket of the advice service: the permission to run the tasks of a step on one worker.
 *
 * @param value the ticket as the service returned it, sent along in the start request
 * @param bootUnixMillis when the worker's boot began for which the ticket is valid, in milliseconds
 *     since 1970
 * @param validUntilMillis when the ticket must no longer be used, on the owner's monotonic clock,
 *     in milliseconds
 */
record AdviceTicket(String value, long bootUnixMillis, long validUntilMillis) {

    /**
     * Returns whether a start request can carry the ticket now.
     *
     * @param worker the worker for which the ticket was issued
     * @param nowMillis the current time, in milliseconds
     * @return true if the worker has not restarted and the ticket has not expired
     */
    boolean isUsable(WorkerRecord worker, long nowMillis) {
        return worker.bootUnixMillis == bootUnixMillis && nowMillis < validUntilMillis;
    }
}
