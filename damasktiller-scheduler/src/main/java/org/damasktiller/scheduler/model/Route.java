package org.damasktiller.scheduler.model;

/**
 * A queue that accepts submissions, as configured in the manifest.
 *
 * <p>The latency objective of a submission is the estimated duration of its critical path times
 * {@code extension}, plus {@code targetLatencyMillis}.
 *
 * @param name the name of the queue
 * @param host the host to which callers send their requests
 * @param pathPrefix the prefix of the request paths that belong to the queue
 * @param service the service whose workers run the tasks
 * @param priority the rank of the queue; 0 is the most urgent
 * @param maximumAttempts the number of failed runs of a task after which its submission fails
 * @param extension the factor by which the latency objective stretches the critical path
 * @param targetLatencyMillis the time that the latency objective adds to the stretched critical
 *     path, in milliseconds
 * @param adviceNeeded whether a step may run only on workers that the advice service allows
 */
public record Route(
        String name,
        String host,
        String pathPrefix,
        String service,
        int priority,
        int maximumAttempts,
        double extension,
        long targetLatencyMillis,
        boolean adviceNeeded) {}
