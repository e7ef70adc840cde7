package org.damasktiller.scheduler.cell;

/**
 * The right to run the tasks of a step on a worker.
 *
 * @param text what the order to start carries
 * @param bornUnixMillis the boot of the worker for which it holds
 * @param validUntilMillis until when it is valid, in milliseconds
 */
record AdviceTicket(String text, long bornUnixMillis, long validUntilMillis) {

    /**
     * Tells whether the ticket can be used.
     *
     * @param worker the worker
     * @param nowMillis the time, in milliseconds
     * @return whether it can
     */
    boolean usable(WorkerRecord worker, long nowMillis) {
        return worker.bootUnixMillis == bornUnixMillis && nowMillis < validUntilMillis;
    }
}
