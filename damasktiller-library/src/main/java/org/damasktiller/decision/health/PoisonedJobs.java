package org.damasktiller.decision.health;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.damasktiller.identity.JobId;
import org.damasktiller.identity.WorkerId;

/**
 * Finds jobs that fail wherever they run. Failures on workers that have come on probation do not
 * count, also if the probation began later. Not safe for use by several threads.
 */
public final class PoisonedJobs {

    /** On how many good workers a job must fail. */
    private final int workersToPoison;

    /** The standing of workers. */
    private final WorkerHealth health;

    /** The workers on which each job failed. */
    private final Map<JobId, Set<WorkerId>> failures = new HashMap<>();

    /**
     * Creates a record without failures.
     *
     * @param workersToPoison on how many good workers a job must fail
     * @param health the standing of workers
     */
    public PoisonedJobs(int workersToPoison, WorkerHealth health) {
        this.workersToPoison = workersToPoison;
        this.health = health;
    }

    /**
     * Records a failure.
     *
     * @param job the job
     * @param worker the worker
     * @return whether the job has failed on enough good workers to be given up
     */
    public boolean onFailure(JobId job, WorkerId worker) {
        Set<WorkerId> workers = failures.computeIfAbsent(job, key -> new HashSet<>());
        workers.add(worker);
        int good = 0;
        for (WorkerId each : workers) {
            good += health.standing(each) == WorkerStanding.GOOD ? 1 : 0;
        }
        return good >= workersToPoison;
    }

    /**
     * Tells whether a job has failed on a worker, which is then not tried again.
     *
     * @param job the job
     * @param worker the worker
     * @return whether it failed there
     */
    public boolean failedOn(JobId job, WorkerId worker) {
        Set<WorkerId> workers = failures.get(job);
        return workers != null && workers.contains(worker);
    }

    /**
     * Forgets a job that ended.
     *
     * @param job the job
     */
    public void ended(JobId job) {
        failures.remove(job);
    }
}
