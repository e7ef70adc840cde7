package org.damasktiller.authority.cell;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.damasktiller.error.ErrorCode;
import org.damasktiller.error.Outcome;
import org.damasktiller.identity.CellId;
import org.damasktiller.identity.JobId;
import org.damasktiller.identity.WorkerId;
import org.damasktiller.table.Repeat;
import org.jspecify.annotations.Nullable;

/** Handles the events of callers. */
final class CallerRequests {

    /** The bounds. */
    private final CellSettings settings;

    /** The cell. */
    private final CellId cell;

    /** The workers. */
    private final Map<WorkerId, WorkerLane> lanes;

    /** Where replies go. */
    private final List<CellAction> actions;

    /**
     * Creates the handling of one event.
     *
     * @param settings the bounds
     * @param cell the cell
     * @param lanes the workers
     * @param actions where replies go
     */
    CallerRequests(
            CellSettings settings,
            CellId cell,
            Map<WorkerId, WorkerLane> lanes,
            List<CellAction> actions) {
        this.settings = settings;
        this.cell = cell;
        this.lanes = lanes;
        this.actions = actions;
    }

    /**
     * Takes an event of a caller.
     *
     * @param event the event
     * @param view the state of the owner
     * @param nowMillis the time, in milliseconds
     */
    void take(CellEvent event, CallerView view, long nowMillis) {
        OwnerTerm term = view.term();
        if (event instanceof Submit submit) {
            submit(submit, view, nowMillis);
        } else if (event instanceof Cancel cancel) {
            find(cancel.replyId(), cancel.job(), view)
                    .ifPresent(job -> cancel(cancel.replyId(), job, term, nowMillis));
        } else if (event instanceof Query query) {
            find(query.replyId(), query.job(), view)
                    .ifPresent(job -> reply(query.replyId(), new JobAnswer(job.status())));
        } else if (event instanceof Evict evict && term != null) {
            term.book().find(evict.job()).ifPresent(this::evict);
        } else if (event instanceof Throttle throttle && term != null) {
            term.book()
                    .find(throttle.job())
                    .ifPresent(job -> throttle(job, throttle.speedPercent()));
        }
    }

    /**
     * Answers the callers whose submissions have waited too long for their commit. A submission
     * that is in no write yet is taken back; another may yet be accepted.
     *
     * @param term the term
     * @param nowMillis the time, in milliseconds
     */
    void giveUpWaiting(OwnerTerm term, long nowMillis) {
        long before = nowMillis - settings.acceptTimeoutMillis();
        for (Job job : term.book().waitingSince(before)) {
            boolean withdrawn = term.book().withdraw(job);
            if (withdrawn) {
                lane(job).ifPresent(lane -> lane.unbind(job));
            }
            JobRefusal refusal =
                    new JobRefusal(
                            ErrorCode.STORE_UNAVAILABLE,
                            withdrawn ? Outcome.NOT_RUN : Outcome.OUTCOME_UNKNOWN,
                            withdrawn
                                    ? "the job was not accepted in time"
                                    : "the job may be accepted; ask again with the same key",
                            Admission.RETRY_AFTER_MILLIS);
            job.takeWaiters().forEach(id -> reply(id, refusal));
            job.takeCancelWaiters().forEach(id -> reply(id, refusal));
        }
    }

    /**
     * Accepts, finds or refuses a job.
     *
     * @param submit the event
     * @param view the state of the owner
     * @param nowMillis the time, in milliseconds
     */
    private void submit(Submit submit, CallerView view, long nowMillis) {
        OwnerTerm term = view.term();
        if (term == null) {
            reply(submit.replyId(), notOwner(view, Outcome.NOT_RUN));
            return;
        }
        JobSubmission submission = submit.submission();
        Optional<Job> known = term.book().find(submission.key());
        if (known.isPresent()) {
            answerKnown(submit.replyId(), known.get());
            return;
        }
        Optional<JobRefusal> refusal =
                view.draining()
                        ? Optional.of(
                                Admission.refusal(
                                        ErrorCode.DRAINING,
                                        "the entry VM shuts down",
                                        Admission.RETRY_AFTER_MILLIS))
                        : Admission.check(
                                submission,
                                term,
                                settings.maximumJobs(),
                                view.storeFailing(),
                                lanes.values());
        Optional<Binding> place =
                refusal.isPresent() ? Optional.empty() : term.rules().place(submission, null);
        if (place.isEmpty()) {
            reply(submit.replyId(), refusal.orElseGet(CallerRequests::noWorker));
            return;
        }
        accept(submit, term, view.jobNumber(), place.get(), nowMillis);
    }

    /**
     * Begins to commit the acceptance of a job.
     *
     * @param submit the event
     * @param term the term
     * @param number the number of the job in the term
     * @param place where the job is bound
     * @param nowMillis the time, in milliseconds
     */
    private void accept(Submit submit, OwnerTerm term, long number, Binding place, long nowMillis) {
        JobId id = new JobId(cell + "-" + term.generation() + "-" + number);
        JobRecord record =
                new JobRecord(
                        id,
                        submit.submission(),
                        JobState.BOUND,
                        place,
                        null,
                        false,
                        0,
                        "",
                        nowMillis);
        Job job = term.book().accept(record);
        job.await(submit.replyId());
        lane(job).ifPresent(lane -> lane.bind(job));
    }

    /**
     * Answers a submission whose key is known.
     *
     * @param replyId the number of the reply
     * @param job the job of the key
     */
    private void answerKnown(long replyId, Job job) {
        if (job.accepted()) {
            reply(replyId, new JobAnswer(job.status()));
        } else {
            job.await(replyId);
        }
    }

    /**
     * Cancels a job.
     *
     * @param replyId the number of the reply
     * @param job the job
     * @param term the term
     * @param nowMillis the time, in milliseconds
     */
    private void cancel(long replyId, Job job, @Nullable OwnerTerm term, long nowMillis) {
        if (term == null) {
            return;
        }
        if (job.proposed() != null) {
            job.awaitCancel(replyId);
            return;
        }
        if (job.record().state() != JobState.BOUND) {
            reply(replyId, new JobAnswer(job.status()));
            return;
        }
        job.await(replyId);
        term.rules().cancel(job, nowMillis);
    }

    /**
     * Has a running job stopped with a checkpoint, unless it must not be started twice.
     *
     * @param job the job
     */
    private void evict(Job job) {
        boolean once = job.record().submission().repeat() == Repeat.AT_MOST_ONCE;
        if (job.running() && job.settled() && !once) {
            job.evict();
            lane(job).ifPresent(lane -> lane.stops.put(job.record().attemptId(), true));
        }
    }

    /**
     * Has the speed of a running job changed.
     *
     * @param job the job
     * @param speedPercent the allowed speed, in percent
     */
    private void throttle(Job job, int speedPercent) {
        if (job.running()) {
            lane(job).ifPresent(lane -> lane.speeds.put(job.record().attemptId(), speedPercent));
        }
    }

    /**
     * Finds an accepted job, or tells the caller that there is none.
     *
     * @param replyId the number of the reply
     * @param id the job
     * @param view the state of the owner
     * @return the job, or empty if the caller was answered
     */
    private Optional<Job> find(long replyId, JobId id, CallerView view) {
        OwnerTerm term = view.term();
        if (term == null) {
            reply(replyId, notOwner(view, Outcome.OUTCOME_UNKNOWN));
            return Optional.empty();
        }
        Optional<Job> job = term.book().find(id);
        if (job.isEmpty()) {
            reply(
                    replyId,
                    new JobRefusal(
                            ErrorCode.UNKNOWN_JOB,
                            Outcome.OUTCOME_UNKNOWN,
                            "no job " + id + " is kept",
                            0));
        }
        return job;
    }

    /**
     * Refuses a request because the cell is owned by another process.
     *
     * @param view the state of the owner
     * @param outcome whether the work was run
     * @return the refusal
     */
    private static JobRefusal notOwner(CallerView view, Outcome outcome) {
        return new JobRefusal(
                ErrorCode.NOT_OWNER,
                outcome,
                "the cell is owned by '" + view.holder() + "'",
                Admission.RETRY_AFTER_MILLIS);
    }

    /**
     * Refuses a submission because no worker takes new work.
     *
     * @return the refusal
     */
    private static JobRefusal noWorker() {
        return Admission.refusal(
                ErrorCode.OVERLOADED,
                "no worker of the cell takes new work",
                Admission.RETRY_AFTER_MILLIS);
    }

    /**
     * Returns the lane to which a job is bound.
     *
     * @param job the job
     * @return the lane, or empty if there is none
     */
    private Optional<WorkerLane> lane(Job job) {
        return Optional.ofNullable(lanes.get(job.record().worker()));
    }

    /**
     * Answers a caller.
     *
     * @param replyId the number of the reply
     * @param reply the answer
     */
    private void reply(long replyId, JobReply reply) {
        actions.add(new Reply(replyId, reply));
    }
}
