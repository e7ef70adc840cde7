package org.damasktiller.scheduler.model;

import com.fasterxml.jackson.annotation.JsonInclude;

/**
 * What a queue grants to its submissions, as one version of the manifest configures it. Stored as
 * JSON under the names of the components.
 *
 * @param version the version of the manifest, 0 if none is known
 * @param priority the rank of the queue; 0 is the most urgent
 * @param maximumAttempts the number of failed runs of a task after which its submission fails
 * @param extension the factor by which the latency objective stretches the critical path
 * @param targetLatencyMillis the time that the latency objective adds to the stretched critical
 *     path, in milliseconds
 * @param adviceNeeded whether a step may run only on workers that the advice service allows
 */
@JsonInclude(JsonInclude.Include.NON_DEFAULT)
public record QueueTerms(
        long version,
        int priority,
        int maximumAttempts,
        double extension,
        long targetLatencyMillis,
        boolean adviceNeeded) {

    /** The number of attempts of a task whose queue is not known. */
    private static final int DEFAULT_MAXIMUM_ATTEMPTS = 2;

    /** The terms of a submission that was stored without any, by a release before they were. */
    public static final QueueTerms UNKNOWN =
            new QueueTerms(0, 0, DEFAULT_MAXIMUM_ATTEMPTS, 1, 0, false);

    /** Raises the number of attempts to 1, since each task runs once. */
    public QueueTerms {
        maximumAttempts = Math.max(1, maximumAttempts);
    }

    /**
     * Returns what a route grants.
     *
     * @param route the route
     * @param version the version of the manifest that has the route
     * @return the terms
     */
    public static QueueTerms of(Route route, long version) {
        return new QueueTerms(
                version,
                route.priority(),
                route.maximumAttempts(),
                route.extension(),
                route.targetLatencyMillis(),
                route.adviceNeeded());
    }
}
