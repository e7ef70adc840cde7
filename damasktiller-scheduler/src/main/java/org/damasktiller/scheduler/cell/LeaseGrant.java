package org.damasktiller.scheduler.cell;

/**
 * A lease that was sent to a worker with a poll or a start.
 *
 * @param endMillis the end on the clock of the boot that the owner knows, in milliseconds
 * @param lowestClockMillis the lowest value that this clock could show when the lease was sent, in
 *     milliseconds
 * @param sentAtMillis when the lease was sent, in milliseconds on the owner's clock
 */
record LeaseGrant(long endMillis, long lowestClockMillis, long sentAtMillis) {

    /**
     * Returns whether an answer shows that another boot has received the lease, whose clock has
     * begun anew.
     *
     * @param clockMillis the clock of the worker that has answered, in milliseconds
     * @return whether it shows less than the clock of the known boot could show
     */
    boolean isAnsweredByOtherBoot(long clockMillis) {
        return clockMillis < lowestClockMillis;
    }
}
