package org.damasktiller.authority.cell;

import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.NavigableSet;
import java.util.TreeMap;
import java.util.TreeSet;
import org.damasktiller.identity.JobId;
import org.damasktiller.identity.WorkerId;
import org.damasktiller.resource.Resources;
import org.damasktiller.vm.VmState;
import org.damasktiller.worker.AttemptId;
import org.damasktiller.worker.WorkerCommand;
import org.damasktiller.worker.WorkerStamp;
import org.jspecify.annotations.Nullable;

/**
 * Holds what the owner knows of one worker and of the jobs bound to it. A bound job either waits
 * (its attempt cannot have begun and may be started), or holds a reservation (its attempt may run),
 * or is in neither set while a change of it is being committed or its state is not known yet.
 */
final class WorkerLane {

    /** The order in which waiting jobs are started. */
    private static final Comparator<Job> START_ORDER =
            Comparator.comparing((Job job) -> job.record().submission().workClass())
                    .thenComparingLong(job -> job.record().changedMillis())
                    .thenComparing(job -> job.record().id());

    /** The worker. */
    final WorkerId worker;

    /** The jobs bound to the worker that have not ended. */
    final Map<JobId, Job> bound = new LinkedHashMap<>();

    /** The jobs that may be started. */
    final NavigableSet<Job> waiting = new TreeSet<>(START_ORDER);

    /** The jobs whose attempts may run. */
    final Map<JobId, Job> holding = new LinkedHashMap<>();

    /** The attempts to stop, and whether to keep a checkpoint. */
    final Map<AttemptId, Boolean> stops = new LinkedHashMap<>();

    /** The speeds to set, in percent. */
    final Map<AttemptId, Integer> speeds = new LinkedHashMap<>();

    /** The attempts to acknowledge, each with the worker's time before which it must be kept. */
    final Map<AttemptId, Long> acknowledgements = new LinkedHashMap<>();

    /** When the latest start of an attempt expires on the worker's clock, in milliseconds. */
    final Map<AttemptId, Long> startExpiries = new HashMap<>();

    /** The amounts held by running attempts that belong to no job bound here. */
    final Map<AttemptId, Resources> strays =
            new TreeMap<>(Comparator.comparing(AttemptId::job).thenComparingInt(AttemptId::number));

    /** What the platform's list says of the worker. */
    VmState listed = VmState.LIVE;

    /** The latest stamp, or null before the first answer. */
    @Nullable WorkerStamp stamp;

    /** When the worker's present process was first heard of, in milliseconds. */
    long learnedMillis;

    /** What the worker has. */
    Resources capacity = Resources.NONE;

    /** Whether the worker's present process was fenced with the owner's generation. */
    boolean fenced;

    /** Whether a waiting job may fit since the waiting jobs were last looked at. */
    boolean startsPossible = true;

    /** When waiting jobs that a limit held back are looked at again, in milliseconds. */
    long limitedMillis = Long.MAX_VALUE;

    /** Whether jobs may be bound to an earlier process of the worker. */
    boolean processChanged;

    /** Whether the worker gets no leases because it was silent. */
    boolean suspended;

    /** When the worker last answered, in milliseconds. */
    long answeredMillis;

    /** When a lease was last granted, in milliseconds. */
    long grantedMillis;

    /** When the inventory was last asked for, in milliseconds. */
    long inventoryMillis = Long.MIN_VALUE / 2;

    /** When the next running task is expected to end, in milliseconds. */
    long expectedEndMillis = Long.MAX_VALUE;

    /** When the usage passed on last was measured, on the worker's clock. */
    long usageMillis;

    /** The number of the call in flight, or zero. */
    long callId;

    /** The command in flight, or null. */
    @Nullable WorkerCommand command;

    /** When the call in flight was sent, in milliseconds. */
    long sentMillis;

    /** When the next command may be sent, in milliseconds. */
    long retryMillis = Long.MIN_VALUE;

    /** What all bound jobs want. */
    private Resources boundSum = Resources.NONE;

    /** What the holding jobs hold. */
    private Resources holdingSum = Resources.NONE;

    /**
     * Creates a lane to a worker of which nothing is known.
     *
     * @param worker the worker
     */
    WorkerLane(WorkerId worker) {
        this.worker = worker;
    }

    /**
     * Returns what is reserved on the worker.
     *
     * @return the amounts of all attempts that may run
     */
    Resources reserved() {
        Resources sum = holdingSum;
        for (Resources stray : strays.values()) {
            sum = sum.plus(stray);
        }
        return sum;
    }

    /**
     * Tells whether the worker may be given new work.
     *
     * @return whether it is live, fenced and answers
     */
    boolean open() {
        return listed == VmState.LIVE && fenced && !suspended;
    }

    /**
     * Tells whether a job is bound to another process of the worker than the present one.
     *
     * @param job the job
     * @return whether the process of the job is gone
     */
    boolean otherProcess(Job job) {
        WorkerStamp present = stamp;
        return present != null
                && !present.incarnation().equals(job.record().binding().incarnation());
    }

    /**
     * Shows the worker to the choice of a place.
     *
     * @return the view
     */
    WorkerView view() {
        return new WorkerView(worker, capacity, reserved(), boundSum);
    }

    /**
     * Adds a job that is bound to the worker.
     *
     * @param job the job
     */
    void bind(Job job) {
        if (bound.put(job.record().id(), job) == null) {
            boundSum = boundSum.plus(job.resources());
        }
    }

    /**
     * Takes a job out that is not bound to the worker any more.
     *
     * @param job the job
     */
    void unbind(Job job) {
        if (bound.remove(job.record().id()) != null) {
            boundSum = boundSum.minus(job.resources());
        }
        waiting.remove(job);
        release(job);
    }

    /**
     * Reserves what a job wants, because its attempt may run.
     *
     * @param job the job
     */
    void hold(Job job) {
        waiting.remove(job);
        if (holding.put(job.record().id(), job) == null) {
            holdingSum = holdingSum.plus(job.resources());
        }
    }

    /**
     * Gives the reservation of a job back.
     *
     * @param job the job
     */
    void release(Job job) {
        if (holding.remove(job.record().id()) != null) {
            startsPossible = true;
            holdingSum = holdingSum.minus(job.resources());
        }
    }

    /**
     * Records that a call is in flight.
     *
     * @param id the number of the call
     * @param sent the command
     * @param nowMillis the time, in milliseconds
     */
    void sent(long id, WorkerCommand sent, long nowMillis) {
        callId = id;
        command = sent;
        sentMillis = nowMillis;
    }

    /**
     * Begins anew under a new generation: nothing is known of the worker but what the list says.
     */
    void reset() {
        bound.clear();
        waiting.clear();
        holding.clear();
        stops.clear();
        speeds.clear();
        acknowledgements.clear();
        startExpiries.clear();
        strays.clear();
        boundSum = Resources.NONE;
        holdingSum = Resources.NONE;
        stamp = null;
        fenced = false;
        suspended = false;
        inventoryMillis = Long.MIN_VALUE / 2;
        expectedEndMillis = Long.MAX_VALUE;
        retryMillis = Long.MIN_VALUE;
        clearCall();
    }

    /**
     * Takes a stamp of the worker. Another process has forgotten the fence and everything else.
     *
     * @param next the stamp
     * @param nowMillis the time, in milliseconds
     */
    void heard(WorkerStamp next, long nowMillis) {
        answeredMillis = nowMillis;
        startsPossible = startsPossible || !strays.isEmpty();
        WorkerStamp last = stamp;
        boolean same = last != null && last.incarnation().equals(next.incarnation());
        if (!same) {
            learnedMillis = nowMillis;
            fenced = false;
            processChanged = true;
            startsPossible = true;
            waiting.clear();
            holding.clear();
            holdingSum = Resources.NONE;
            stops.clear();
            speeds.clear();
            acknowledgements.clear();
            startExpiries.clear();
            strays.clear();
        }
        if (last == null || !same || next.millis() > last.millis()) {
            stamp = next;
        }
    }

    /** Forgets the call in flight. */
    void clearCall() {
        callId = 0;
        command = null;
    }
}
