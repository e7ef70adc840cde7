package org.damasktiller.authority.cell;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.damasktiller.identity.WorkerId;
import org.damasktiller.table.Repeat;
import org.damasktiller.worker.Checkpoint;
import org.damasktiller.worker.FinishedTask;
import org.damasktiller.worker.StoppedTask;
import org.jspecify.annotations.Nullable;

/** Decides what becomes of a job whose attempt has ended or was lost, and proposes the change. */
final class JobRules {

    /** The result of a job that was lost and must not be started twice. */
    private static final String LOST_RESULT =
            "the attempt was lost; it may have run and is not started again";

    /** The bounds. */
    private final CellSettings settings;

    /** The jobs. */
    private final JobBook book;

    /** The workers, in the order of their names. */
    private final Map<WorkerId, WorkerLane> lanes;

    /** The choice of a worker. */
    private final Placement placement;

    /**
     * Creates the rules.
     *
     * @param settings the bounds
     * @param book the jobs
     * @param lanes the workers
     * @param placement the choice of a worker
     */
    JobRules(
            CellSettings settings,
            JobBook book,
            Map<WorkerId, WorkerLane> lanes,
            Placement placement) {
        this.settings = settings;
        this.book = book;
        this.lanes = lanes;
        this.placement = placement;
    }

    /**
     * Decides after an attempt ran to its end.
     *
     * @param job the job
     * @param task the report of the worker
     * @param nowMillis the time, in milliseconds
     */
    void finished(Job job, FinishedTask task, long nowMillis) {
        if (job.proposed() != null) {
            return;
        }
        JobRecord record = job.record();
        boolean repeat =
                record.submission().repeat() != Repeat.AT_MOST_ONCE
                        && record.failures() + 1 < settings.maximumFailures()
                        && record.state() == JobState.BOUND;
        if (task.succeeded() || !repeat) {
            JobState end = task.succeeded() ? JobState.SUCCEEDED : JobState.FAILED;
            book.propose(job, record.withState(end, task.result(), nowMillis));
            return;
        }
        rebind(job, record.checkpoint(), true, nowMillis);
    }

    /**
     * Decides after an attempt was stopped, by command or because its lease lapsed.
     *
     * @param job the job
     * @param task the report of the worker
     * @param nowMillis the time, in milliseconds
     */
    void stopped(Job job, StoppedTask task, long nowMillis) {
        if (job.proposed() != null) {
            return;
        }
        JobRecord record = job.record();
        if (record.state() == JobState.CANCELLING) {
            book.propose(job, record.withState(JobState.CANCELLED_AFTER_START, "", nowMillis));
            return;
        }
        if (record.submission().repeat() == Repeat.AT_MOST_ONCE) {
            book.propose(job, record.withState(JobState.OUTCOME_UNKNOWN, LOST_RESULT, nowMillis));
            return;
        }
        Checkpoint kept = task.checkpoint();
        rebind(job, kept == null ? record.checkpoint() : kept, false, nowMillis);
    }

    /**
     * Decides after the present attempt was proved to be dead.
     *
     * @param job the job
     * @param nowMillis the time, in milliseconds
     */
    void lost(Job job, long nowMillis) {
        if (job.proposed() != null) {
            return;
        }
        JobRecord record = job.record();
        if (record.state() == JobState.CANCELLING) {
            JobState end = cancelledState(job);
            book.propose(job, record.withState(end, "", nowMillis));
            return;
        }
        if (job.begun() && record.submission().repeat() == Repeat.AT_MOST_ONCE) {
            book.propose(job, record.withState(JobState.OUTCOME_UNKNOWN, LOST_RESULT, nowMillis));
            return;
        }
        rebind(job, record.checkpoint(), false, nowMillis);
    }

    /**
     * Cancels a bound job: at once if its attempt cannot have begun, else by way of a stop.
     *
     * @param job the job, of which no change is being committed
     * @param nowMillis the time, in milliseconds
     */
    void cancel(Job job, long nowMillis) {
        JobRecord record = job.record();
        WorkerLane lane = lanes.get(record.worker());
        JobState next = job.begun() ? JobState.CANCELLING : cancelledState(job);
        if (lane != null && !job.begun()) {
            lane.waiting.remove(job);
        }
        book.propose(job, record.withState(next, "", nowMillis));
    }

    /**
     * Binds a job to another worker under the next attempt. The present attempt must be proved to
     * be dead or not to have begun.
     *
     * @param job the job
     * @param checkpoint where to continue, or null for the beginning
     * @param failed whether the present attempt failed by itself
     * @param nowMillis the time, in milliseconds
     * @return whether a worker was found
     */
    boolean rebind(Job job, @Nullable Checkpoint checkpoint, boolean failed, long nowMillis) {
        JobRecord record = job.record();
        Optional<Binding> place = place(record.submission(), record.worker());
        if (place.isEmpty()) {
            return false;
        }
        WorkerLane old = lanes.get(record.worker());
        if (old != null) {
            old.waiting.remove(job);
        }
        Binding next = place.get();
        WorkerLane target = lanes.get(next.worker());
        if (target != null) {
            target.bind(job);
        }
        book.propose(job, record.rebound(next, checkpoint, job.begun(), failed, nowMillis));
        return true;
    }

    /**
     * Chooses a place for a job, preferring another worker than the present one.
     *
     * @param submission the job
     * @param avoided the present worker, or null
     * @return the place as a first attempt, or empty if no worker takes the job
     */
    Optional<Binding> place(JobSubmission submission, @Nullable WorkerId avoided) {
        List<WorkerView> open =
                lanes.values().stream().filter(WorkerLane::open).map(WorkerLane::view).toList();
        List<WorkerView> others =
                avoided == null
                        ? open
                        : open.stream().filter(view -> !view.worker().equals(avoided)).toList();
        Optional<WorkerId> chosen =
                placement.choose(submission, others).or(() -> placement.choose(submission, open));
        return chosen.flatMap(this::binding);
    }

    /**
     * Returns the end of a cancelled job whose present attempt is dead or has not begun.
     *
     * @param job the job
     * @return the state
     */
    private static JobState cancelledState(Job job) {
        return job.begun() || job.record().begun()
                ? JobState.CANCELLED_AFTER_START
                : JobState.CANCELLED_BEFORE_START;
    }

    /**
     * Makes the binding to a worker.
     *
     * @param worker the worker
     * @return the binding as a first attempt, or empty if the worker was not heard of
     */
    private Optional<Binding> binding(WorkerId worker) {
        WorkerLane lane = lanes.get(worker);
        if (lane == null || lane.stamp == null) {
            return Optional.empty();
        }
        return Optional.of(new Binding(worker, lane.stamp.incarnation(), 1));
    }
}
