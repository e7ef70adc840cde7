package org.damasktiller.decision.dispatch;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.damasktiller.decision.KindIndex;
import org.damasktiller.decision.fairshare.FairShareQueue;
import org.damasktiller.decision.interference.InterferenceEstimator;
import org.damasktiller.decision.placement.PlacementIndex;
import org.damasktiller.decision.placement.WorkerState;
import org.damasktiller.identity.JobId;
import org.damasktiller.identity.WorkerId;
import org.damasktiller.resource.Resources;
import org.jspecify.annotations.Nullable;

/** Keeps the running tasks, and all that has to change together with a reservation. */
final class TaskTable {

    /** The numbers of the kinds. */
    private final KindIndex kinds;

    /** The reservations. */
    private final PlacementIndex index;

    /** The shares. */
    private final FairShareQueue queue;

    /** The loads that slow down others. */
    private final InterferenceEstimator interference;

    /** The tasks by job. */
    private final Map<JobId, RunningTask> tasks = new HashMap<>();

    /** The tasks of each worker. */
    private final Map<WorkerId, Map<JobId, RunningTask>> workers = new HashMap<>();

    /**
     * Creates a table without tasks.
     *
     * @param kinds the numbers of the kinds
     * @param index the reservations
     * @param queue the shares
     * @param interference the loads
     */
    TaskTable(
            KindIndex kinds,
            PlacementIndex index,
            FairShareQueue queue,
            InterferenceEstimator interference) {
        this.kinds = kinds;
        this.index = index;
        this.queue = queue;
        this.interference = interference;
    }

    /**
     * Returns the task of a job.
     *
     * @param job the job
     * @return the task, or null if the job does not run
     */
    @Nullable RunningTask get(JobId job) {
        return tasks.get(job);
    }

    /**
     * Returns the tasks of a worker.
     *
     * @param worker the worker
     * @return the tasks
     */
    Collection<RunningTask> on(WorkerId worker) {
        Map<JobId, RunningTask> running = workers.get(worker);
        return running == null ? List.of() : running.values();
    }

    /**
     * Adds a task, if the worker has room.
     *
     * @param task the task
     * @param nowMillis the time, in milliseconds
     * @return whether it was added
     */
    boolean add(RunningTask task, long nowMillis) {
        JobId id = task.job.id();
        if (!index.reserve(id, task.job.kind(), task.worker, task.reserved)) {
            return false;
        }
        tasks.put(id, task);
        workers.computeIfAbsent(task.worker, key -> new LinkedHashMap<>()).put(id, task);
        load(task, task.reserved.milliProcessors(), nowMillis);
        return true;
    }

    /**
     * Removes a task.
     *
     * @param task the task
     * @param nowMillis the time, in milliseconds
     */
    void remove(RunningTask task, long nowMillis) {
        JobId id = task.job.id();
        tasks.remove(id);
        Map<JobId, RunningTask> running = workers.get(task.worker);
        if (running != null) {
            running.remove(id);
        }
        load(task, -task.reserved.milliProcessors(), nowMillis);
        index.release(id);
        queue.ended(id, nowMillis);
    }

    /**
     * Changes the reservation of a task, if the worker has room.
     *
     * @param task the task
     * @param size the new reservation
     * @param nowMillis the time, in milliseconds
     * @return whether it was changed
     */
    boolean resize(RunningTask task, Resources size, long nowMillis) {
        if (!index.resize(task.job.id(), size)) {
            return false;
        }
        load(task, size.milliProcessors() - task.reserved.milliProcessors(), nowMillis);
        task.reserved = size;
        queue.resized(task.job.id(), size, nowMillis);
        return true;
    }

    /**
     * Returns the state of the worker of a task.
     *
     * @param worker the worker
     * @return the state
     */
    WorkerState state(WorkerId worker) {
        return Objects.requireNonNull(index.worker(worker));
    }

    /**
     * Records a change of load.
     *
     * @param task the task
     * @param milliProcessors the processors added, in thousandths
     * @param nowMillis the time, in milliseconds
     */
    private void load(RunningTask task, long milliProcessors, long nowMillis) {
        WorkerState worker = index.worker(task.worker);
        if (worker == null || milliProcessors == 0) {
            return;
        }
        double whole = Math.max(1, worker.spec().capacity().milliProcessors());
        int kind = kinds.number(task.job.kind());
        interference.loadChanged(task.worker, kind, milliProcessors / whole, nowMillis);
    }
}
