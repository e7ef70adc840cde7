package org.damasktiller.decision.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.damasktiller.decision.KindIndex;
import org.damasktiller.decision.estimate.RunTimeEstimator;
import org.damasktiller.decision.estimate.SizeEstimator;
import org.damasktiller.decision.fairshare.FairShareQueue;
import org.damasktiller.decision.fairshare.PendingJob;
import org.damasktiller.decision.fairshare.ShareReading;
import org.damasktiller.decision.health.FleetLimits;
import org.damasktiller.decision.health.PoisonedJobs;
import org.damasktiller.decision.health.RefusedJobs;
import org.damasktiller.decision.health.WorkerStanding;
import org.damasktiller.decision.interference.HarmScore;
import org.damasktiller.decision.interference.InterferenceEstimator;
import org.damasktiller.decision.placement.PlacementIndex;
import org.damasktiller.decision.placement.PlacementRequest;
import org.damasktiller.decision.placement.PlacementScore;
import org.damasktiller.decision.placement.WorkerSpec;
import org.damasktiller.decision.placement.WorkerState;
import org.damasktiller.identity.JobId;
import org.damasktiller.identity.KindName;
import org.damasktiller.identity.TenantName;
import org.damasktiller.identity.WorkerId;
import org.damasktiller.resource.Resources;
import org.damasktiller.table.KindOfWork;
import org.damasktiller.table.WorkClass;

/**
 * Drives the decisions together. It takes events with the time and returns actions in the order in
 * which they have to take effect; it does no I/O. The sum of the reservations of a worker never
 * exceeds its capacity. Not safe for use by several threads.
 */
public final class Dispatcher {

    /** The settings. */
    private final DispatchSettings settings;

    /** The numbers of the kinds. */
    private final KindIndex kinds = new KindIndex();

    /** The rows of the table. */
    private final Map<KindName, KindOfWork> rows = new HashMap<>();

    /** The reservations. */
    private final PlacementIndex index;

    /** The order of starts. */
    private final FairShareQueue queue;

    /** The estimates of slowdown. */
    private final InterferenceEstimator interference = new InterferenceEstimator();

    /** The score by predicted harm. */
    private final HarmScore harm;

    /** The running tasks. */
    private final TaskTable tasks;

    /** The estimates of sizes. */
    private final SizeEstimator sizes = new SizeEstimator();

    /** The estimates of run times. */
    private final RunTimeEstimator runTimes = new RunTimeEstimator();

    /** The sizes of workers. */
    private final FleetLimits limits = new FleetLimits();

    /** The jobs that can never run. */
    private final RefusedJobs refused = new RefusedJobs(limits);

    /** Opens and closes workers. */
    private final WorkerAccess access;

    /** The jobs that fail. */
    private final PoisonedJobs poisoned;

    /** Adapts reservations. */
    private final SizeControl sizeControl;

    /** Makes room. */
    private final RoomMaker rooms;

    /** Chooses workers. */
    private final JobPlacer placer;

    /** Protects services. */
    private final ServiceProtection protection;

    /** The memory that other jobs leave free on each worker for an urgent one. */
    private Resources urgentMemory = Resources.NONE;

    /** The capacity of the fleet. */
    private Resources capacity = Resources.NONE;

    /**
     * Creates a dispatcher without kinds and workers.
     *
     * @param settings the settings
     * @param random the source of randomness
     */
    public Dispatcher(DispatchSettings settings, RandomGenerator random) {
        this.settings = settings;
        index = new PlacementIndex(kinds, random, settings.samples());
        queue = new FairShareQueue(Resources.NONE, settings.aging());
        harm = new HarmScore(interference, settings.harm(), random);
        tasks = new TaskTable(kinds, index, queue, interference);
        access = new WorkerAccess(index, settings.health());
        poisoned = new PoisonedJobs(settings.workersToPoison(), access.health());
        sizeControl = new SizeControl(tasks, sizes, limits);
        rooms = new RoomMaker(tasks);
        placer = new JobPlacer(index, queue, rooms, limits, this::start);
        protection = new ServiceProtection(tasks, rooms, kinds, interference, settings);
    }

    /**
     * Adds or changes a kind of work and examines refused jobs again.
     *
     * @param row the row of the table
     * @param nowMillis the time, in milliseconds
     */
    public void putKind(KindOfWork row, long nowMillis) {
        rows.put(row.name(), row);
        queue.putKind(row, nowMillis);
        if (row.workClass() == WorkClass.URGENT) {
            long most = Math.max(urgentMemory.memoryMegabytes(), row.declared().memoryMegabytes());
            urgentMemory = new Resources(0, most, 0);
        }
        boolean guarded = row.workClass() == WorkClass.INTERACTIVE;
        harm.guard(kinds.number(row.name()), guarded);
        refused.examineAgain(kind -> row(kind).places()).forEach(queue::submit);
    }

    /**
     * Sets the quota of a tenant.
     *
     * @param tenant the tenant
     * @param limit the most that its running jobs may reserve together
     */
    public void putQuota(TenantName tenant, Resources limit) {
        queue.putQuota(tenant, limit);
    }

    /**
     * Adds a worker and examines refused jobs again.
     *
     * @param spec the worker
     */
    public void addWorker(WorkerSpec spec) {
        if (index.worker(spec.id()) != null) {
            return;
        }
        index.addWorker(spec);
        access.health().addWorker(spec.id());
        limits.add(spec.zone(), spec.capacity());
        capacity = capacity.plus(spec.capacity());
        queue.capacity(capacity);
        refused.examineAgain(kind -> row(kind).places()).forEach(queue::submit);
    }

    /**
     * Gives no new work to a worker that is leaving.
     *
     * @param id the worker
     */
    public void drain(WorkerId id) {
        access.drain(id);
    }

    /**
     * Removes a worker that is gone. Its jobs are no longer running; the caller decides, by the
     * proof of their end, which of them to submit again.
     *
     * @param id the worker
     * @param nowMillis the time, in milliseconds
     * @return the jobs that ran on it
     */
    public List<JobId> removeWorker(WorkerId id, long nowMillis) {
        WorkerState worker = index.worker(id);
        if (worker == null) {
            return List.of();
        }
        List<RunningTask> lost = List.copyOf(tasks.on(id));
        lost.forEach(task -> tasks.remove(task, nowMillis));
        index.removeWorker(id);
        access.remove(id);
        interference.workerGone(id);
        protection.workerGone(id);
        limits.remove(worker.spec().zone(), worker.spec().capacity());
        capacity = capacity.minus(worker.spec().capacity());
        queue.capacity(capacity);
        return lost.stream().map(task -> task.job.id()).toList();
    }

    /**
     * Adds a task that already runs, found in the inventory of a worker.
     *
     * @param job the job
     * @param worker the worker
     * @param size what is reserved for it
     * @param nowMillis the time, in milliseconds
     * @return whether it was added; false if the worker is unknown or has no room
     */
    public boolean adopt(PendingJob job, WorkerId worker, Resources size, long nowMillis) {
        queue.submit(job);
        return start(job, worker, size, RunningTask.FULL_SPEED, nowMillis);
    }

    /**
     * Takes a job to be run.
     *
     * @param job the job with its declared size
     * @param nowMillis the time, in milliseconds
     * @return the refusal if it can never run, otherwise nothing
     */
    public List<DispatchAction> submit(PendingJob job, long nowMillis) {
        KindOfWork row = rows.get(job.kind());
        Resources size = sizeControl.forNew(job.kind(), job.size(), nowMillis);
        PendingJob sized = new PendingJob(job.id(), job.kind(), size, job.submittedMillis());
        Optional<String> reason =
                row == null ? Optional.empty() : refused.examine(sized, row.places());
        if (reason.isPresent()) {
            return List.of(new GiveUpJob(job.id(), false, reason.get()));
        }
        queue.submit(job);
        return List.of();
    }

    /**
     * Cancels a job.
     *
     * @param job the job
     * @return the stop if it runs, otherwise nothing
     */
    public List<DispatchAction> cancel(JobId job) {
        if (queue.cancel(job) || refused.cancel(job)) {
            poisoned.ended(job);
            return List.of();
        }
        RunningTask task = tasks.get(job);
        if (task == null) {
            return List.of();
        }
        task.cancelled = true;
        task.stopping = true;
        return List.of(new StopTask(job, task.worker));
    }

    /**
     * Starts what can start now.
     *
     * @param nowMillis the time, in milliseconds
     * @return the starts, each after the throttles that make room for it
     */
    public List<DispatchAction> round(long nowMillis) {
        access.onTime(nowMillis);
        List<DispatchAction> actions = new ArrayList<>();
        index.expireHolds(nowMillis);
        queue.beginRound();
        Optional<PendingJob> next = queue.next(nowMillis);
        while (next.isPresent()) {
            PendingJob job = next.get();
            boolean urgent = row(job.kind()).workClass() == WorkClass.URGENT;
            PlacementRequest request = request(job, nowMillis);
            actions.addAll(placer.place(job, request, score(), urgent, nowMillis));
            next = queue.next(nowMillis);
        }
        return actions;
    }

    /**
     * Learns from a usage report of a batch task.
     *
     * @param report the report
     * @param nowMillis the time, in milliseconds
     * @return the changes of its reservation
     */
    public List<DispatchAction> onUsage(UsageReport report, long nowMillis) {
        RunningTask task = tasks.get(report.job());
        if (task == null || task.service) {
            return List.of();
        }
        task.workAtRiskMillis = report.workAtRiskMillis();
        queue.chargeOverrun(report.job(), nowMillis);
        List<DispatchAction> actions = new ArrayList<>(rooms.restore(task, nowMillis));
        actions.addAll(sizeControl.onUsage(task, report, nowMillis));
        return actions;
    }

    /**
     * Learns from a measurement of a service and protects it.
     *
     * @param report the measurement
     * @param nowMillis the time, in milliseconds
     * @return what to throttle or stop
     */
    public List<DispatchAction> onService(ServiceReport report, long nowMillis) {
        RunningTask task = tasks.get(report.service());
        if (task == null) {
            return List.of();
        }
        return protection.onReport(task, report, row(task.job.kind()), nowMillis);
    }

    /**
     * Records the end of a task.
     *
     * @param job the job
     * @param result how it ended
     * @param nowMillis the time, in milliseconds
     * @return the report that the job is given up, if it is poisoned
     */
    public List<DispatchAction> onEnded(JobId job, TaskResult result, long nowMillis) {
        RunningTask task = tasks.get(job);
        if (task == null) {
            return List.of();
        }
        tasks.remove(task, nowMillis);
        sizes.ended(job);
        recordResult(task, result, nowMillis);
        boolean again = result == TaskResult.FAILED || result == TaskResult.EVICTED;
        if (!again || task.cancelled) {
            poisoned.ended(job);
            return List.of();
        }
        if (result == TaskResult.FAILED && poisoned.onFailure(job, task.worker)) {
            poisoned.ended(job);
            String reason = "failed on " + settings.workersToPoison() + " workers";
            return List.of(new GiveUpJob(job, true, reason));
        }
        queue.submit(task.job);
        return List.of();
    }

    /**
     * Reads back what each kind has received.
     *
     * @param nowMillis the time, in milliseconds
     * @return the readings in order of the names
     */
    public List<ShareReading> shares(long nowMillis) {
        return queue.shares(nowMillis);
    }

    /**
     * Returns the number of waiting jobs.
     *
     * @return the number
     */
    public int pending() {
        return queue.pending();
    }

    /**
     * Returns the standing of a worker.
     *
     * @param worker the worker
     * @return the standing
     */
    public WorkerStanding standing(WorkerId worker) {
        return access.health().standing(worker);
    }

    /**
     * Builds the request for a worker.
     *
     * @param job the job
     * @param nowMillis the time, in milliseconds
     * @return the request
     */
    private PlacementRequest request(PendingJob job, long nowMillis) {
        Resources size = sizeControl.forNew(job.kind(), job.size(), nowMillis);
        KindOfWork row = row(job.kind());
        boolean urgent = row.workClass() == WorkClass.URGENT;
        Resources leaveFree = urgent ? Resources.NONE : urgentMemory;
        return new PlacementRequest(job.id(), job.kind(), size, leaveFree, row.places());
    }

    /**
     * Returns the score in use; without protection the fullest worker is taken.
     *
     * @return the score
     */
    private PlacementScore score() {
        PlacementScore base =
                settings.protectServices()
                        ? harm
                        : (kind, request, worker) -> 1 - worker.reservedShare();
        return (kind, request, worker) ->
                poisoned.failedOn(request.job(), worker.spec().id())
                        ? Double.POSITIVE_INFINITY
                        : base.cost(kind, request, worker);
    }

    /**
     * Starts a waiting job.
     *
     * @param job the job
     * @param worker the worker
     * @param size what to reserve at full speed
     * @param percent the speed, in percent
     * @param nowMillis the time, in milliseconds
     * @return whether it was started
     */
    private boolean start(
            PendingJob job, WorkerId worker, Resources size, int percent, long nowMillis) {
        KindOfWork row = row(job.kind());
        RunningTask task = new RunningTask(job, worker, size, row, nowMillis);
        task.startAt(percent);
        if (!tasks.add(task, nowMillis)) {
            return false;
        }
        long expected = runTimes.expectedMillis(job.kind(), row.runTimeMillis(), nowMillis);
        queue.started(job.id(), task.reserved, expected, nowMillis);
        access.onStart(worker);
        return true;
    }

    /**
     * Learns from the end of a task.
     *
     * @param task the task
     * @param result how it ended
     * @param nowMillis the time, in milliseconds
     */
    private void recordResult(RunningTask task, TaskResult result, long nowMillis) {
        boolean failed = result == TaskResult.FAILED;
        if (failed || result == TaskResult.SUCCEEDED) {
            KindName kind = task.job.kind();
            access.health().onResult(task.worker, task.job.id(), kind, failed, nowMillis);
            if (!failed) {
                runTimes.observe(kind, nowMillis - task.startedMillis, nowMillis);
            }
        }
        access.reopen(task.worker);
    }

    /**
     * Returns the row of a kind that has jobs.
     *
     * @param kind the kind
     * @return the row
     */
    private KindOfWork row(KindName kind) {
        return Objects.requireNonNull(rows.get(kind));
    }
}
