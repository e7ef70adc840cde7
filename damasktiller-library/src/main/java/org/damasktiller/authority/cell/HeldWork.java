package org.damasktiller.authority.cell;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.damasktiller.identity.KindName;
import org.damasktiller.identity.TenantName;

/**
 * Counts the jobs of a cell that run or may run. Of a worker that the present owner has not fenced
 * yet, every bound job may run.
 */
final class HeldWork {

    /** The number of jobs by kind. */
    private final Map<KindName, Integer> jobsOfKind = new HashMap<>();

    /** The number of jobs by tenant. */
    private final Map<TenantName, Integer> jobsOfTenant = new HashMap<>();

    /** The processors held by kind, in thousandths. */
    private final Map<KindName, Long> processorsOfKind = new HashMap<>();

    /** Creates an empty count. */
    private HeldWork() {}

    /**
     * Counts the jobs of a cell.
     *
     * @param lanes the workers of the cell
     * @return the count
     */
    static HeldWork of(Collection<WorkerLane> lanes) {
        HeldWork work = new HeldWork();
        for (WorkerLane lane : lanes) {
            Collection<Job> jobs = lane.fenced ? lane.holding.values() : lane.bound.values();
            jobs.forEach(work::add);
        }
        return work;
    }

    /**
     * Adds a job.
     *
     * @param job the job
     */
    void add(Job job) {
        JobSubmission submission = job.record().submission();
        KindName kind = submission.task().kind();
        jobsOfKind.merge(kind, 1, Integer::sum);
        jobsOfTenant.merge(submission.tenant(), 1, Integer::sum);
        processorsOfKind.merge(kind, job.resources().milliProcessors(), Long::sum);
    }

    /**
     * Tells whether one more job stays within its limits.
     *
     * @param submission the job
     * @param rule the rule of the job
     * @return whether it does
     */
    boolean allows(JobSubmission submission, StartRule rule) {
        return jobsOfKind.getOrDefault(submission.task().kind(), 0) < rule.kindLimit()
                && jobsOfTenant.getOrDefault(submission.tenant(), 0) < rule.tenantLimit();
    }

    /**
     * Tells how much of the cell a kind holds for its weight.
     *
     * @param kind the kind of work
     * @param weight the weight
     * @return the processors held, in thousandths, divided by the weight
     */
    double share(KindName kind, int weight) {
        return (double) processorsOfKind.getOrDefault(kind, 0L) / weight;
    }
}
