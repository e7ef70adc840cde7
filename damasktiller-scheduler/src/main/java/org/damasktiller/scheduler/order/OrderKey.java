package org.damasktiller.scheduler.order;

/**
 * What the order of waiting steps depends on.
 *
 * @param preferred whether the step goes before all others: long-running tasks that have run
 *     before, and submissions that were passed over although the cell has room
 * @param rank the kind of work
 * @param lateness whether the job can be on time, will be late, or will be too late to be of use
 * @param priority the priority of the route, 0 for the most urgent
 * @param remainingWork the work that the job still needs, in millicores times milliseconds
 * @param arrival the store revision at which the submission was stored, which rises with each one
 */
public record OrderKey(
        boolean preferred,
        WorkRank rank,
        Lateness lateness,
        int priority,
        double remainingWork,
        long arrival) {}
