package org.damasktiller.decision.health;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import org.damasktiller.decision.fairshare.PendingJob;
import org.damasktiller.identity.JobId;
import org.damasktiller.identity.KindName;
import org.damasktiller.identity.ZoneName;
import org.jspecify.annotations.Nullable;

/**
 * Keeps jobs that can never run, with the reason, and examines them again when the table or the
 * fleet changes. Not safe for use by several threads.
 */
public final class RefusedJobs {

    /** The sizes of workers. */
    private final FleetLimits limits;

    /** The jobs refused. */
    private final Map<JobId, RefusedJob> refused = new LinkedHashMap<>();

    /**
     * Creates a record without jobs.
     *
     * @param limits the sizes of workers
     */
    public RefusedJobs(FleetLimits limits) {
        this.limits = limits;
    }

    /**
     * Examines a job and keeps it if it can never run.
     *
     * @param job the job
     * @param places the zones allowed, empty for any
     * @return the reason, or empty if the job can run
     */
    public Optional<String> examine(PendingJob job, List<ZoneName> places) {
        Optional<String> reason = limits.reasonAgainst(job.size(), places);
        reason.ifPresent(text -> refused.put(job.id(), new RefusedJob(job, text)));
        return reason;
    }

    /**
     * Examines all refused jobs again, after a change of the fleet or the table.
     *
     * @param places the zones now allowed to a kind, empty for any
     * @return the jobs that can run now, which are no longer kept
     */
    public List<PendingJob> examineAgain(Function<KindName, List<ZoneName>> places) {
        List<PendingJob> runnable = new ArrayList<>();
        Iterator<RefusedJob> jobs = refused.values().iterator();
        while (jobs.hasNext()) {
            RefusedJob job = jobs.next();
            if (limits.reasonAgainst(job.job().size(), places.apply(job.job().kind())).isEmpty()) {
                jobs.remove();
                runnable.add(job.job());
            }
        }
        return runnable;
    }

    /**
     * Returns why a job is refused.
     *
     * @param job the job
     * @return the reason, or null if it is not refused
     */
    public @Nullable String reason(JobId job) {
        RefusedJob kept = refused.get(job);
        return kept == null ? null : kept.reason();
    }

    /**
     * Forgets a job that its caller gave up.
     *
     * @param job the job
     * @return whether it was kept
     */
    public boolean cancel(JobId job) {
        return refused.remove(job) != null;
    }

    /**
     * Holds one refused job.
     *
     * @param job the job
     * @param reason why it can never run
     */
    private record RefusedJob(PendingJob job, String reason) {}
}
