package org.damasktiller.benchmark.interactive;

import java.util.function.LongFunction;

/**
 * Describes a load.
 *
 * @param url gives the address of each request by its number
 * @param keys whether requests carry an idempotency key
 * @param ratePerSecond how many requests begin a second, zero to keep a number under way instead
 * @param concurrency how many requests are under way at most
 * @param requests how many requests are made at most
 * @param durationMillis how long requests are begun, in milliseconds
 * @param deadlineMillis how long an answer is waited for, in milliseconds
 */
record LoadPlan(
        LongFunction<String> url,
        boolean keys,
        int ratePerSecond,
        int concurrency,
        long requests,
        long durationMillis,
        long deadlineMillis) {

    /**
     * Makes a load of a fixed rate.
     *
     * @param url gives the address of each request
     * @param ratePerSecond how many requests begin a second
     * @param durationMillis how long, in milliseconds
     * @param deadlineMillis how long an answer is waited for, in milliseconds
     * @return the plan
     */
    static LoadPlan rate(
            LongFunction<String> url, int ratePerSecond, long durationMillis, long deadlineMillis) {
        return new LoadPlan(
                url,
                false,
                ratePerSecond,
                Integer.MAX_VALUE,
                Long.MAX_VALUE,
                durationMillis,
                deadlineMillis);
    }

    /**
     * Makes a load with a fixed number of requests under way.
     *
     * @param url gives the address of each request
     * @param concurrency how many are under way
     * @param durationMillis how long, in milliseconds
     * @param deadlineMillis how long an answer is waited for, in milliseconds
     * @return the plan
     */
    static LoadPlan closed(
            LongFunction<String> url, int concurrency, long durationMillis, long deadlineMillis) {
        return new LoadPlan(
                url, false, 0, concurrency, Long.MAX_VALUE, durationMillis, deadlineMillis);
    }
}
