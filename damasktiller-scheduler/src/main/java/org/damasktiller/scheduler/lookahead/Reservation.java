package org.damasktiller.scheduler.lookahead;

import org.damasktiller.scheduler.model.Resources;

/**
 * Room on a worker that is kept for a task of a waiting step.
 *
 * @param worker the identifier of the worker
 * @param step the name of the step
 * @param need the resources of the task
 * @param startMillis when the worker is expected to have the room, in milliseconds
 * @param spare what the worker is expected to have beyond that room at that time
 */
public record Reservation(
        String worker, String step, Resources need, long startMillis, Resources spare) {

    /**
     * Returns whether another task may start on the worker without delaying the reserved one.
     *
     * @param otherStep the name of the other task's step
     * @param otherNeed the resources of the other task
     * @param endMillis when the other task is expected to end, in milliseconds
     * @return whether it is of the same step, ends before the reserved start, or fits beside the
     *     reserved task
     */
    public boolean admits(String otherStep, Resources otherNeed, long endMillis) {
        return step.equals(otherStep) || endMillis <= startMillis || spare.covers(otherNeed);
    }

    /**
     * Returns the reservation after another task has started on the worker.
     *
     * @param otherNeed the resources of the other task
     * @param endMillis when the other task is expected to end, in milliseconds
     * @return the reservation, with less spare room if the other task runs beside the reserved one
     */
    public Reservation afterStart(Resources otherNeed, long endMillis) {
        return endMillis <= startMillis
                ? this
                : new Reservation(worker, step, need, startMillis, spare.minus(otherNeed));
    }
}
