package org.damasktiller.decision.fairshare;

import org.damasktiller.identity.KindName;

/**
 * Holds what one kind of work has received, for operators to compare with the table.
 *
 * @param kind the kind
 * @param weight the weight in the table
 * @param consumedMillis the dominant share received, summed over time, in whole-fleet milliseconds
 * @param runningShare the dominant share reserved now, from 0 to 1
 * @param running the number of running jobs
 * @param pending the number of waiting jobs
 * @param longestWaitMillis the longest wait of a job now waiting, in milliseconds
 */
public record ShareReading(
        KindName kind,
        int weight,
        double consumedMillis,
        double runningShare,
        int running,
        int pending,
        long longestWaitMillis) {}
