package org.damasktiller.scheduler.model;

/**
 * A queue that takes submissions.
 *
 * @param name its name
 * @param host the host that callers name
 * @param pathPrefix the beginning of the paths that belong to it
 * @param service the service whose workers run its tasks
 * @param priority its rank, 0 the most urgent
 * @param maximumAttempts after how many failed runs of a task a submission has failed
 * @param extension the factor on the chain of work in the objective of a submission
 * @param targetLatencyMillis what the objective adds to the chain, in milliseconds
 * @param adviceNeeded whether only workers that the advice service names may run its steps
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
