package org.damasktiller.authority.cell;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.damasktiller.table.Repeat;
import org.damasktiller.vm.VmState;
import org.damasktiller.worker.AttemptId;
import org.damasktiller.worker.FinishedTask;
import org.damasktiller.worker.Inventory;
import org.damasktiller.worker.RunningTask;
import org.damasktiller.worker.StoppedTask;
import org.damasktiller.worker.WorkerStamp;

/**
 * Compares what a worker reports with what is committed, and brings the two together. Every report
 * is the whole inventory, so that a lost or repeated report does no harm.
 */
final class Reconciler {

    /** The jobs of one lane that are given up in one step at most. */
    private static final int MAXIMUM_LOST = 64;

    /** The times. */
    private final CellSettings settings;

    /** The jobs. */
    private final JobBook book;

    /** What becomes of jobs. */
    private final JobRules rules;

    /**
     * Creates the reconciler.
     *
     * @param settings the times
     * @param book the jobs
     * @param rules what becomes of jobs
     */
    Reconciler(CellSettings settings, JobBook book, JobRules rules) {
        this.settings = settings;
        this.book = book;
        this.rules = rules;
    }

    /**
     * Takes the inventory of a fenced worker.
     *
     * @param lane the worker
     * @param stamp the moment of the inventory
     * @param inventory the inventory
     * @param nowMillis the time, in milliseconds
     */
    void reconcile(WorkerLane lane, WorkerStamp stamp, Inventory inventory, long nowMillis) {
        Set<AttemptId> listed = new HashSet<>();
        lane.strays.clear();
        lane.expectedEndMillis = Long.MAX_VALUE;
        for (RunningTask task : inventory.running()) {
            listed.add(task.attempt());
            running(lane, task, nowMillis);
        }
        for (FinishedTask task : inventory.finished()) {
            listed.add(task.attempt());
            Optional<Job> job = current(lane, task.attempt());
            job.ifPresentOrElse(
                    found -> {
                        lane.release(found);
                        rules.finished(found, task, nowMillis);
                    },
                    () -> acknowledge(lane, task.attempt()));
        }
        for (StoppedTask task : inventory.stopped()) {
            listed.add(task.attempt());
            Optional<Job> job = current(lane, task.attempt());
            job.ifPresentOrElse(
                    found -> {
                        lane.release(found);
                        rules.stopped(found, task, nowMillis);
                    },
                    () -> acknowledge(lane, task.attempt()));
        }
        for (Job job : List.copyOf(lane.bound.values())) {
            if (!listed.contains(job.record().attemptId())) {
                absent(lane, job, stamp, nowMillis);
            }
        }
    }

    /**
     * Makes a job ready that is bound to the present process of the worker, if its attempt cannot
     * have begun. The process may have changed while the binding was being committed.
     *
     * @param lane the worker
     * @param job the job
     */
    void ready(WorkerLane lane, Job job) {
        if (lane.otherProcess(job)) {
            lane.processChanged = true;
        } else if (!job.begun() && job.settled()) {
            lane.waiting.add(job);
            lane.startsPossible = true;
        }
    }

    /**
     * Gives up the jobs of a worker whose attempts are proved to be dead.
     *
     * @param lane the worker
     * @param acquiredMillis when the cell was acquired, in milliseconds
     * @param graceMillis how long after that an earlier owner may have acted, in milliseconds
     * @param nowMillis the time, in milliseconds
     */
    void giveUpDead(WorkerLane lane, long acquiredMillis, long graceMillis, long nowMillis) {
        boolean lapsed = nowMillis > leaseEndMillis(lane, acquiredMillis, graceMillis);
        boolean closed = lane.listed != VmState.LIVE || lane.suspended;
        if (lane.bound.isEmpty() || !(closed || lapsed || lane.processChanged)) {
            return;
        }
        int count = 0;
        boolean otherProcessSeen = false;
        for (Job job : List.copyOf(lane.bound.values())) {
            otherProcessSeen |= lane.otherProcess(job);
            if (job.proposed() == null && mayLeave(lane, job, closed, lapsed)) {
                rules.lost(job, nowMillis);
                count++;
            }
            if (count == MAXIMUM_LOST) {
                return;
            }
        }
        lane.processChanged = otherProcessSeen;
    }

    /**
     * Tells whether a job may leave the worker to which it is bound: its attempt is dead, or has
     * not begun on a worker that takes no new work. A resumable job whose lease has lapsed stays,
     * since the worker may hold its result or its checkpoint.
     *
     * @param lane the worker
     * @param job the job
     * @param closed whether the worker takes no new work
     * @param lapsed whether every lease on the worker has ended
     * @return whether it may leave
     */
    private static boolean mayLeave(WorkerLane lane, Job job, boolean closed, boolean lapsed) {
        if (lane.listed == VmState.GONE || lane.otherProcess(job)) {
            return true;
        }
        if (!job.begun()) {
            return closed;
        }
        return lapsed && job.record().submission().repeat() == Repeat.IDEMPOTENT;
    }

    /**
     * Has an attempt acknowledged once no start of it can arrive any more.
     *
     * @param lane the worker
     * @param attempt the attempt
     */
    void acknowledge(WorkerLane lane, AttemptId attempt) {
        lane.acknowledgements.put(attempt, lane.startExpiries.getOrDefault(attempt, 0L));
    }

    /**
     * Takes a running attempt.
     *
     * @param lane the worker
     * @param task the report of the worker
     * @param nowMillis the time, in milliseconds
     */
    private void running(WorkerLane lane, RunningTask task, long nowMillis) {
        Optional<Job> found = current(lane, task.attempt());
        if (found.isEmpty()) {
            lane.strays.put(task.attempt(), task.resources());
            lane.stops.put(task.attempt(), false);
            return;
        }
        Job job = found.get();
        lane.hold(job);
        job.seenRunning(nowMillis);
        if (job.expectedEndMillis() > nowMillis) {
            lane.expectedEndMillis = Math.min(lane.expectedEndMillis, job.expectedEndMillis());
        }
        if (job.record().state() == JobState.CANCELLING) {
            lane.stops.put(task.attempt(), false);
        } else if (job.evicting()) {
            lane.stops.put(task.attempt(), true);
        }
    }

    /**
     * Takes the absence of a job's present attempt. After a fence it proves that the attempt never
     * began; after a start it does so once the start has expired.
     *
     * @param lane the worker
     * @param job the job
     * @param stamp the moment of the inventory
     * @param nowMillis the time, in milliseconds
     */
    private void absent(WorkerLane lane, Job job, WorkerStamp stamp, long nowMillis) {
        if (job.proposed() != null || lane.otherProcess(job)) {
            return;
        }
        if (job.running()) {
            lane.release(job);
            rules.lost(job, nowMillis);
            return;
        }
        if (job.startExpiryMillis() > stamp.millis()) {
            return;
        }
        lane.release(job);
        lane.startExpiries.remove(job.record().attemptId());
        job.cannotHaveBegun();
        if (job.record().state() == JobState.CANCELLING) {
            rules.lost(job, nowMillis);
            return;
        }
        ready(lane, job);
    }

    /**
     * Returns the job whose present attempt this is, if it has not ended.
     *
     * @param lane the worker
     * @param attempt the attempt
     * @return the job, or empty if the attempt is not the present one here
     */
    private Optional<Job> current(WorkerLane lane, AttemptId attempt) {
        return book.find(attempt.job())
                .filter(job -> job.accepted())
                .filter(job -> !job.record().state().ended())
                .filter(job -> job.record().worker().equals(lane.worker))
                .filter(job -> !lane.otherProcess(job))
                .filter(job -> job.record().binding().attempt() == attempt.number());
    }

    /**
     * Returns when every lease on the worker has ended that may have been granted, for a worker
     * that gets no more.
     *
     * @param lane the worker
     * @param acquiredMillis when the cell was acquired, in milliseconds
     * @param graceMillis how long after that an earlier owner may have acted, in milliseconds
     * @return the time, in milliseconds, or the largest one while leases are granted
     */
    private long leaseEndMillis(WorkerLane lane, long acquiredMillis, long graceMillis) {
        long ownEnd =
                lane.grantedMillis
                        + settings.ownership().leaseOfTasksMillis()
                        + settings.ownership().clockMarginMillis();
        if (!lane.fenced) {
            return Math.max(ownEnd, acquiredMillis + graceMillis);
        }
        return lane.suspended ? ownEnd : Long.MAX_VALUE;
    }
}
