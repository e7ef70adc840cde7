package org.damasktiller.authority.cell;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.damasktiller.authority.commit.GroupCommitter;
import org.damasktiller.authority.commit.LogCodec;
import org.damasktiller.authority.commit.LogImage;
import org.damasktiller.authority.commit.LogKeys;
import org.damasktiller.authority.commit.LogRecovery;
import org.damasktiller.authority.ownership.Acquisition;
import org.damasktiller.authority.ownership.OwnerIdentity;
import org.damasktiller.authority.ownership.Ownership;
import org.damasktiller.error.ErrorCode;
import org.damasktiller.error.Outcome;
import org.damasktiller.identity.CellId;
import org.damasktiller.identity.WorkerId;
import org.jspecify.annotations.Nullable;

/**
 * Owns one cell, or stands by to own it: accepts jobs, binds them to workers, starts each attempt
 * once, and recovers all of it from the log and the workers after a takeover.
 *
 * <p>The class does no I/O. A driver passes each {@link CellEvent} with the time and carries out
 * the returned actions:
 *
 * <ul>
 *   <li>{@link StoreRequest}: {@code StoreCalls.send(store, call)}, then pass {@link
 *       StoreAnswered}, or {@link StoreFailed} if the promise fails;
 *   <li>{@link WorkerRequest}: {@code workerClient.send(worker, command)}, then pass {@link
 *       WorkerAnswered}, or {@link WorkerFailed} if the promise fails;
 *   <li>{@link Reply}: answer the caller that the number stands for; a number is answered once;
 *   <li>{@link JobChanged}, {@link UsageObserved}: for logs, metrics and the decisions;
 *   <li>{@link Released}: the object is of no more use.
 * </ul>
 *
 * <p>The driver passes {@link Tick} every 10 to 50 milliseconds and {@link WorkersListed} after
 * each reading of the platform's list. The time must be read after the event was received, not
 * cached from before: an owner that was paused must learn how long. An event may be passed late,
 * twice or never; calls time out by themselves.
 *
 * <p>Not safe for use by several threads.
 */
public final class CellOwner {

    /** The times and bounds. */
    private final CellSettings settings;

    /** The cell. */
    private final CellId cell;

    /** The names of the keys. */
    private final LogKeys keys;

    /** The codec of the log. */
    private final LogCodec codec = new LogCodec();

    /** The ownership. */
    private final Ownership ownership;

    /** The choice of a worker. */
    private final Placement placement;

    /** The workers, in the order of their names. */
    private final Map<WorkerId, WorkerLane> lanes = new TreeMap<>();

    /** The calls to the store. */
    private final StoreDispatcher store;

    /** The calls to the workers. */
    private final WorkerDispatcher workers;

    /** The latest number given to a call. */
    private long lastCallId;

    /** The latest number given to a job in this term. */
    private long lastJob;

    /** The recovery in progress, or null. */
    private @Nullable LogRecovery recovery;

    /** The acquisition whose log is being recovered, or null. */
    private @Nullable Acquisition acquired;

    /** The present term, or null. */
    private @Nullable OwnerTerm term;

    /** Whether the entry VM shuts down. */
    private boolean draining;

    /** Whether the release was reported. */
    private boolean releaseReported;

    /**
     * Creates an owner that stands by.
     *
     * @param settings the times and bounds
     * @param cell the cell
     * @param self the identity of this process
     * @param placement the choice of a worker
     */
    public CellOwner(CellSettings settings, CellId cell, OwnerIdentity self, Placement placement) {
        this(settings, cell, self, placement, StartPolicy.EVEN);
    }

    /**
     * Creates an owner that stands by and starts jobs by the rules of their kinds.
     *
     * @param settings the times and bounds
     * @param cell the cell
     * @param self the identity of this process
     * @param placement the choice of a worker
     * @param policy the rules of the kinds
     */
    public CellOwner(
            CellSettings settings,
            CellId cell,
            OwnerIdentity self,
            Placement placement,
            StartPolicy policy) {
        this.settings = settings;
        this.cell = cell;
        this.keys = new LogKeys("cell/" + cell + "/");
        this.ownership = new Ownership(settings.ownership(), self, keys, codec);
        this.placement = placement;
        this.store = new StoreDispatcher(ownership, settings.callTimeoutMillis(), this::nextCallId);
        this.workers =
                new WorkerDispatcher(
                        settings,
                        ownership,
                        new StartOrder(policy, lanes.values()),
                        this::nextCallId);
    }

    /**
     * Tells whether this object owns the cell and has recovered it.
     *
     * @return whether it accepts work
     */
    public boolean active() {
        return term != null;
    }

    /**
     * Returns the generation under which this object owns the cell.
     *
     * @return the generation, or zero if it does not own the cell
     */
    public long generation() {
        return ownership.generation();
    }

    /**
     * Returns the identity text of the process that was last seen to own the cell.
     *
     * @return the text, or an empty text if none was seen
     */
    public String holder() {
        return ownership.holder();
    }

    /**
     * Takes one event.
     *
     * @param event the event
     * @param nowMillis the time, read after the event was received, in milliseconds
     * @return what to do, in order
     */
    public List<CellAction> handle(CellEvent event, long nowMillis) {
        List<CellAction> actions = new ArrayList<>();
        take(event, nowMillis, actions);
        followOwnership(nowMillis, actions);
        OwnerTerm present = term;
        if (present != null) {
            settle(present, nowMillis, actions);
            if (event instanceof Tick) {
                lookAround(present, nowMillis, actions);
            }
            workers.poll(lanes, nowMillis, actions);
        }
        finishDrain(actions);
        store.poll(nowMillis, actions);
        return actions;
    }

    /**
     * Passes an event to the part that it concerns.
     *
     * @param event the event
     * @param nowMillis the time, in milliseconds
     * @param actions where the actions go
     */
    private void take(CellEvent event, long nowMillis, List<CellAction> actions) {
        OwnerTerm present = term;
        if (event instanceof StoreAnswered answered) {
            store.answered(answered.callId(), answered.answer(), nowMillis);
        } else if (event instanceof StoreFailed failed) {
            store.failed(failed.callId(), nowMillis);
        } else if (event instanceof WorkerAnswered answered && present != null) {
            workers.answered(answered.callId(), answered.answer(), present, nowMillis, actions);
        } else if (event instanceof WorkerFailed failed) {
            workers.failed(failed.callId(), nowMillis);
        } else if (event instanceof WorkersListed listed) {
            listed.workers().forEach(each -> lane(each.worker()).listed = each.state());
        } else if (event instanceof Tick) {
            store.expire(nowMillis);
        } else if (event instanceof Drain) {
            draining = true;
        } else {
            new CallerRequests(settings, cell, lanes, actions)
                    .take(event, callerView(present), nowMillis);
        }
    }

    /**
     * Shows the state of the owner to the handling of a caller's event.
     *
     * @param present the present term, or null
     * @return the state
     */
    private CallerView callerView(@Nullable OwnerTerm present) {
        boolean storeFailing =
                ownership.failing() || (present != null && present.committer().failing());
        lastJob++;
        return new CallerView(present, draining, storeFailing, lastJob, ownership.holder());
    }

    /**
     * Begins or ends a term as the ownership says.
     *
     * @param nowMillis the time, in milliseconds
     * @param actions where replies go
     */
    private void followOwnership(long nowMillis, List<CellAction> actions) {
        OwnerTerm present = term;
        if (present != null && present.committer().lost()) {
            ownership.headLost();
        }
        if (present != null && ownership.generation() != present.generation()) {
            endTerm(present, actions);
        }
        Optional<Acquisition> acquisition = ownership.takeAcquisition();
        if (acquisition.isPresent()) {
            Acquisition next = acquisition.get();
            acquired = next;
            recovery = new LogRecovery(codec, keys, next.head(), next.headRevision());
            store.serveRecovery(recovery);
        }
        followRecovery(nowMillis);
    }

    /**
     * Begins the term once the log is recovered.
     *
     * @param nowMillis the time, in milliseconds
     */
    private void followRecovery(long nowMillis) {
        LogRecovery reading = recovery;
        Acquisition from = acquired;
        if (reading == null || from == null) {
            return;
        }
        if (ownership.generation() != from.head().generation() || reading.superseded()) {
            if (reading.superseded()) {
                ownership.headLost();
            }
            endRecovery();
            return;
        }
        Optional<LogImage> image = reading.image();
        if (image.isPresent()) {
            endRecovery();
            beginTerm(image.get(), from, nowMillis);
        }
    }

    /** Forgets the recovery. */
    private void endRecovery() {
        recovery = null;
        acquired = null;
        store.serveRecovery(null);
    }

    /**
     * Begins a term: every worker is to be probed and fenced before anything is started.
     *
     * @param image the log
     * @param from the acquisition
     * @param nowMillis the time, in milliseconds
     */
    private void beginTerm(LogImage image, Acquisition from, long nowMillis) {
        GroupCommitter committer = new GroupCommitter(settings.commit(), codec, keys, image);
        JobBook book = new JobBook(committer);
        JobRules rules = new JobRules(settings, book, lanes, placement);
        Reconciler reconciler = new Reconciler(settings, book, rules);
        lanes.values().forEach(WorkerLane::reset);
        workers.clear();
        for (Job job : book.jobs()) {
            if (!job.record().state().ended()) {
                lane(job.record().worker()).bind(job);
            }
        }
        lanes.values().forEach(lane -> lane.answeredMillis = nowMillis);
        store.serveCommitter(committer);
        term =
                new OwnerTerm(
                        image.head().generation(),
                        nowMillis,
                        from.previousGraceMillis(),
                        committer,
                        book,
                        rules,
                        reconciler);
    }

    /**
     * Ends a term: nothing is written or commanded under it any more.
     *
     * @param ending the term
     * @param actions where replies go
     */
    private void endTerm(OwnerTerm ending, List<CellAction> actions) {
        for (Job job : List.copyOf(ending.book().jobs())) {
            boolean withdrawn = ending.book().withdraw(job);
            Outcome outcome = withdrawn ? Outcome.NOT_RUN : Outcome.OUTCOME_UNKNOWN;
            JobRefusal refusal =
                    new JobRefusal(
                            ErrorCode.NOT_OWNER,
                            outcome,
                            "the cell moves to another owner; ask again with the same key",
                            Admission.RETRY_AFTER_MILLIS);
            job.takeWaiters().forEach(id -> actions.add(new Reply(id, refusal)));
            job.takeCancelWaiters().forEach(id -> actions.add(new Reply(id, refusal)));
        }
        lanes.values().forEach(WorkerLane::reset);
        workers.clear();
        store.serveCommitter(null);
        term = null;
    }

    /**
     * Puts committed changes in force.
     *
     * @param present the term
     * @param nowMillis the time, in milliseconds
     * @param actions where replies go
     */
    private void settle(OwnerTerm present, long nowMillis, List<CellAction> actions) {
        for (JobChange change : present.book().settle()) {
            Job job = change.job();
            move(present, job, change.before());
            JobStatus status = job.status();
            actions.add(new JobChanged(status));
            job.takeWaiters().forEach(id -> actions.add(new Reply(id, new JobAnswer(status))));
            List<Long> cancelling = job.takeCancelWaiters();
            if (!cancelling.isEmpty() && status.state() == JobState.BOUND) {
                cancelling.forEach(job::await);
                present.rules().cancel(job, nowMillis);
            } else {
                cancelling.forEach(id -> actions.add(new Reply(id, new JobAnswer(status))));
            }
        }
    }

    /**
     * Moves a job between the workers after a committed change.
     *
     * @param present the term
     * @param job the job
     * @param before the record before the change
     */
    private void move(OwnerTerm present, Job job, JobRecord before) {
        JobRecord after = job.record();
        WorkerLane old = lane(before.worker());
        if (after.state().ended()) {
            old.unbind(job);
            return;
        }
        if (!after.binding().equals(before.binding())) {
            old.unbind(job);
        }
        WorkerLane lane = lane(after.worker());
        lane.bind(job);
        present.reconciler().ready(lane, job);
        if (after.state() == JobState.CANCELLING) {
            lane.stops.put(after.attemptId(), false);
        }
    }

    /**
     * Looks for what time alone brings about.
     *
     * @param present the term
     * @param nowMillis the time, in milliseconds
     * @param actions where replies go
     */
    private void lookAround(OwnerTerm present, long nowMillis, List<CellAction> actions) {
        workers.expire(lanes, nowMillis);
        for (WorkerLane lane : lanes.values()) {
            present.reconciler()
                    .giveUpDead(lane, present.acquiredMillis(), present.graceMillis(), nowMillis);
        }
        present.book().forgetEnded(nowMillis - settings.retentionMillis());
        new CallerRequests(settings, cell, lanes, actions).giveUpWaiting(present, nowMillis);
    }

    /**
     * Gives the cell back once everything accepted is committed.
     *
     * @param actions where the report goes
     */
    private void finishDrain(List<CellAction> actions) {
        if (!draining || releaseReported) {
            return;
        }
        OwnerTerm present = term;
        boolean idle = present == null || present.committer().idle();
        if (!ownership.released() && idle) {
            ownership.release();
            if (present != null) {
                endTerm(present, actions);
            }
        }
        if (ownership.released()) {
            releaseReported = true;
            actions.add(new Released());
        }
    }

    /**
     * Returns the lane of a worker.
     *
     * @param worker the worker
     * @return the lane
     */
    private WorkerLane lane(WorkerId worker) {
        return lanes.computeIfAbsent(worker, WorkerLane::new);
    }

    /**
     * Returns a number for a call.
     *
     * @return the number
     */
    private long nextCallId() {
        lastCallId++;
        return lastCallId;
    }
}
