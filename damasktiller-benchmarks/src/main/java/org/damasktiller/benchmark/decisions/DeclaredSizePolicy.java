package org.damasktiller.benchmark.decisions;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.damasktiller.decision.dispatch.DispatchAction;
import org.damasktiller.decision.dispatch.GiveUpJob;
import org.damasktiller.decision.dispatch.ServiceReport;
import org.damasktiller.decision.dispatch.StartTask;
import org.damasktiller.decision.dispatch.StopTask;
import org.damasktiller.decision.dispatch.TaskResult;
import org.damasktiller.decision.dispatch.UsageReport;
import org.damasktiller.decision.fairshare.PendingJob;
import org.damasktiller.decision.placement.WorkerSpec;
import org.damasktiller.identity.JobId;
import org.damasktiller.identity.WorkerId;
import org.damasktiller.resource.Resources;
import org.damasktiller.table.KindOfWork;
import org.jspecify.annotations.Nullable;

/** The baselines that reserve declared sizes and know nothing of interference. */
final class DeclaredSizePolicy implements Policy {

    /** How many waiting jobs the least-loaded baseline looks at. */
    private static final int LOOK_AHEAD = 100;

    /** The part of the workers that a static partition gives to services. */
    private static final double SERVICE_WORKERS = 0.5;

    /** The variant. */
    private final Variant variant;

    /** The workers in order. */
    private final List<WorkerSpec> workers = new ArrayList<>();

    /** What is free on each worker. */
    private final Map<WorkerId, Resources> free = new LinkedHashMap<>();

    /** The waiting jobs in order. */
    private final Map<JobId, PendingJob> waiting = new LinkedHashMap<>();

    /** The running jobs. */
    private final Map<JobId, StartTask> running = new HashMap<>();

    /** The jobs as submitted. */
    private final Map<JobId, PendingJob> jobs = new HashMap<>();

    /**
     * Creates a policy.
     *
     * @param variant the variant
     */
    DeclaredSizePolicy(Variant variant) {
        this.variant = variant;
    }

    @Override
    public void putKind(KindOfWork row, long nowMillis) {}

    @Override
    public void addWorker(WorkerSpec spec) {
        workers.add(spec);
        free.put(spec.id(), spec.capacity());
    }

    @Override
    public int serviceWorker(int instance, int instances) {
        return variant == Variant.STATIC_PARTITION ? instance % serviceWorkers() : instance;
    }

    @Override
    public void addService(PendingJob service, WorkerId worker) {
        Resources size = service.size();
        if (variant == Variant.STATIC_PARTITION) {
            size = Resources.NONE;
        }
        Resources taken = size;
        free.computeIfPresent(worker, (id, left) -> left.minus(taken));
    }

    @Override
    public List<DispatchAction> submit(PendingJob job, long nowMillis) {
        if (workers.stream().noneMatch(spec -> job.size().fitsWithin(spec.capacity()))) {
            return List.of(new GiveUpJob(job.id(), false, "too large"));
        }
        waiting.put(job.id(), job);
        jobs.put(job.id(), job);
        return List.of();
    }

    @Override
    public List<DispatchAction> cancel(JobId job) {
        StartTask task = running.get(job);
        waiting.remove(job);
        return task == null ? List.of() : List.of(new StopTask(job, task.worker()));
    }

    @Override
    public List<DispatchAction> round(long nowMillis) {
        List<DispatchAction> actions = new ArrayList<>();
        Iterator<PendingJob> jobsInOrder = waiting.values().iterator();
        int refused = 0;
        int limit = variant == Variant.LEAST_LOADED ? LOOK_AHEAD : 1;
        while (jobsInOrder.hasNext() && refused < limit) {
            PendingJob job = jobsInOrder.next();
            WorkerId worker = choose(job.size());
            if (worker == null) {
                refused++;
                continue;
            }
            jobsInOrder.remove();
            free.computeIfPresent(worker, (id, left) -> left.minus(job.size()));
            StartTask start = new StartTask(job.id(), worker, job.size());
            running.put(job.id(), start);
            actions.add(start);
        }
        return actions;
    }

    @Override
    public List<DispatchAction> onUsage(UsageReport report, long nowMillis) {
        return List.of();
    }

    @Override
    public List<DispatchAction> onService(ServiceReport report, long nowMillis) {
        return List.of();
    }

    @Override
    public List<DispatchAction> onEnded(JobId job, TaskResult result, long nowMillis) {
        StartTask task = running.remove(job);
        if (task == null) {
            return List.of();
        }
        free.computeIfPresent(task.worker(), (id, left) -> left.plus(task.size()));
        PendingJob again = jobs.get(job);
        if (result == TaskResult.FAILED && again != null) {
            waiting.put(job, again);
        } else {
            jobs.remove(job);
        }
        return List.of();
    }

    /**
     * Chooses a worker: the first that has room, or the one with most free processors.
     *
     * @param size the size
     * @return the worker, or null if none has room
     */
    private @Nullable WorkerId choose(Resources size) {
        WorkerId best = null;
        long most = -1;
        int first = variant == Variant.STATIC_PARTITION ? serviceWorkers() : 0;
        for (WorkerSpec spec : workers.subList(first, workers.size())) {
            Resources left = free.getOrDefault(spec.id(), Resources.NONE);
            if (size.fitsWithin(left) && left.milliProcessors() > most) {
                best = spec.id();
                most = left.milliProcessors();
                if (variant != Variant.LEAST_LOADED) {
                    return best;
                }
            }
        }
        return best;
    }

    /**
     * Returns how many workers a static partition gives to services.
     *
     * @return the number
     */
    private int serviceWorkers() {
        return (int) Math.ceil(SERVICE_WORKERS * workers.size());
    }

    /** Lists the variants. */
    enum Variant {
        /** Strictly first in, first out, on the first worker that has room. */
        FIRST_IN_FIRST_OUT,
        /** The same, with the services on workers of their own. */
        STATIC_PARTITION,
        /** The worker with most free processors; jobs that do not fit are passed over. */
        LEAST_LOADED
    }
}
