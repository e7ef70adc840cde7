package org.damasktiller.scheduler.cell;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.damasktiller.scheduler.estimate.RunTimeEstimator;
import org.damasktiller.scheduler.model.EndKind;
import org.damasktiller.scheduler.model.EndedRun;
import org.damasktiller.scheduler.model.SubmissionState;
import org.damasktiller.scheduler.model.TaskId;
import org.damasktiller.scheduler.policy.Policy;
import org.jspecify.annotations.Nullable;

/**
 * Updates jobs with the outcomes of their runs, and finishes jobs that have succeeded, failed or
 * been cancelled.
 */
final class JobTracker {

    /**
     * The number of workers per suspect worker: at most one worker in this many may become suspect.
     */
    private static final int MIN_WORKERS_PER_SUSPECT = 4;

    /** The shared state of the cell's owner. */
    private final CellContext context;

    /** Stores the changes of jobs. */
    private final CommitQueue commits;

    /** Removes the progress of cancelled jobs. */
    private final ProgressRemover progressRemover;

    /** Stops runs. */
    private final RunRequestSender requestSender;

    /** Learns how long tasks take. */
    private final RunTimeEstimator runTimes;

    /** Counts crashes of workers against tasks. */
    private final CrashTracker crashTracker;

    /**
     * Creates a tracker for the jobs of a cell.
     *
     * @param context the shared state of the cell's owner
     * @param commits stores the changes of jobs
     * @param progressRemover removes the progress of cancelled jobs
     * @param requestSender stops runs
     * @param runTimes learns how long tasks take
     */
    JobTracker(
            CellContext context,
            CommitQueue commits,
            ProgressRemover progressRemover,
            RunRequestSender requestSender,
            RunTimeEstimator runTimes) {
        this.context = context;
        this.commits = commits;
        this.progressRemover = progressRemover;
        this.requestSender = requestSender;
        requestSender.onStarted(this::recordConfirmedRun);
        this.runTimes = runTimes;
        this.crashTracker = new CrashTracker(context, commits, this::finishIfDoneOrFailed);
    }

    /**
     * Returns the tracker of the crashes of workers under the tasks.
     *
     * @return the tracker
     */
    CrashTracker crashTracker() {
        return crashTracker;
    }

    /**
     * Finds the task of an open submission.
     *
     * @param id the identifier of the task
     * @return the task, or null if the submission is not open, its progress can't be read or it has
     *     no such task, or the task has its home in another cell
     */
    @Nullable TaskRecord findTask(TaskId id) {
        Job job = context.jobs.get(id.submission());
        if (job == null || job.state.isFinal() || job.progressUnreadable) {
            return null;
        }
        TaskRecord task = job.findTask(id);
        return task == null || task.away ? null : task;
    }

    /**
     * Records that a worker has confirmed a run of a task. The first confirmed run of a job changes
     * its state from queued to running.
     *
     * @param task the task
     */
    void recordConfirmedRun(TaskRecord task) {
        Job job = task.step.occurrence.job;
        if (job.state == SubmissionState.QUEUED) {
            job.state = SubmissionState.RUNNING;
        }
        if (task.step.spec.lasting() && !task.everRan) {
            task.everRan = true;
            commits.enqueue(task);
        }
    }

    /**
     * Applies the end of a run that a worker has reported. The ends of a task that is already done
     * are ignored. So are ends other than {@link EndKind#DONE} and {@link EndKind#FAILED} if the
     * end of the same or a later run has been applied. An end of a job whose progress can't be read
     * can't be stored, and is left to an owner that can read it.
     *
     * @param worker the worker
     * @param end the end of the run
     * @return the end with the version of the job that must be stored before the end is
     *     acknowledged to the worker
     */
    PendingEnd applyEnd(WorkerRecord worker, EndedRun end) {
        RunRecord record = worker.runs.get(new RunKey(end.task(), end.run()));
        if (record != null) {
            worker.removeRun(record);
        }
        Job job = context.jobs.get(end.task().submission());
        TaskRecord task = findTask(end.task());
        if (job == null || task == null) {
            return new PendingEnd(
                    end.sequence(),
                    end.task(),
                    end.run(),
                    job,
                    versionToStore(job),
                    context.hasMoved(end.task().submission()));
        }
        boolean relevant =
                end.run() > task.highestEndedRunNumber
                        || end.kind() == EndKind.DONE
                        || end.kind() == EndKind.FAILED;
        if (relevant && !task.done) {
            recordConfirmedRun(task);
            recordOutcome(job, worker, record, end);
            context.log.log(
                    "run.ended",
                    "task",
                    end.task(),
                    "run",
                    end.run(),
                    "worker",
                    worker.id,
                    "how",
                    end.kind(),
                    "sequence",
                    end.sequence());
            crashTracker.onOutcomeKnown(task);
            updateTask(task, worker, end);
            commits.enqueue(task);
            finishIfDoneOrFailed(job);
        }
        return new PendingEnd(
                end.sequence(), end.task(), end.run(), job, job.version, job.part != null);
    }

    /**
     * Returns which version of a job must be stored before an end that changes nothing here is
     * acknowledged.
     *
     * @param job the job, or null if it is not open here
     * @return the version
     */
    private static long versionToStore(@Nullable Job job) {
        if (job == null) {
            return 0;
        }
        return job.progressUnreadable ? Job.NEVER_STORED : job.version;
    }

    /**
     * Applies the loss of a run whose end no worker reports, for example because its worker has
     * restarted or its lease has expired.
     *
     * @param record the run
     * @param reason why the run cannot be active any more, for the log
     */
    void applyLoss(RunRecord record, String reason) {
        record.worker.removeRun(record);
        TaskRecord task = record.task;
        context.log.log(
                "run.lost",
                "task",
                record.taskId,
                "run",
                record.runNumber,
                "worker",
                record.worker.id,
                "reason",
                reason,
                "knownActive",
                record.knownActiveMillis());
        if (task != null && !task.done) {
            crashTracker.onOutcomeKnown(task);
            String before = task.checkpoint;
            saveCheckpoint(task, record.checkpoint);
            if (!task.checkpoint.equals(before) && !task.step.occurrence.job.state.isFinal()) {
                commits.enqueue(task);
            }
            stopGang(task);
        }
    }

    /**
     * Ends a job that its caller has cancelled, stops its runs and removes its progress. The store
     * already has the cancellation.
     *
     * @param job the job
     */
    void cancel(Job job) {
        context.log.log("job.cancelled", "id", job.id(), "cell", context.cell);
        job.state = SubmissionState.CANCELLED;
        commits.discard(job);
        context.removeJob(job);
        if (job.progressStored) {
            progressRemover.remove(job.id());
        }
        stopAllRuns(job);
    }

    /**
     * Removes a job whose final state has been stored.
     *
     * @param job the job
     */
    void close(Job job) {
        context.removeJob(job);
        context.log.log(
                "job.closed",
                "route",
                job.accepted.route(),
                "id",
                job.id(),
                "cell",
                context.cell,
                "state",
                job.state,
                "millis",
                context.now() - job.acceptedAtMillis);
    }

    /**
     * Counts the submissions without a confirmed run.
     *
     * @return the counts by the name of the route, without routes that have none
     */
    Map<String, Integer> countQueuedByRoute() {
        Map<String, Integer> counts = new TreeMap<>();
        for (Job job : context.jobs.values()) {
            if (job.state == SubmissionState.QUEUED && !job.isGuest()) {
                counts.merge(job.accepted.route(), 1, Integer::sum);
            }
        }
        for (UnloadedSubmission submission : context.unloaded.all()) {
            counts.merge(submission.route(), 1, Integer::sum);
        }
        context.departed.addTo(counts, context.now());
        return counts;
    }

    /**
     * Updates a task with the end of one of its runs.
     *
     * @param task the task
     * @param worker the worker that ran it
     * @param end the end of the run
     */
    private void updateTask(TaskRecord task, WorkerRecord worker, EndedRun end) {
        boolean newest = end.run() >= task.highestEndedRunNumber;
        task.highestEndedRunNumber = Math.max(task.highestEndedRunNumber, end.run());
        task.highestRunNumber = Math.max(task.highestRunNumber, end.run());
        switch (end.kind()) {
            case DONE -> markDone(task);
            case FAILED -> {
                if (!task.step.spec.lasting()) {
                    task.failedRunNumbers.add(end.run());
                }
                task.avoidedWorkerIds.add(worker.id);
            }
            default -> {
                // A run that was stopped, expired or lost its gang says nothing about the task;
                // only its checkpoint is kept.
            }
        }
        if (newest) {
            saveCheckpoint(task, end.checkpoint());
        }
        if (end.kind() != EndKind.DONE) {
            stopGang(task);
        }
    }

    /**
     * Marks a task as done and stops its other runs. A member of a gang that is done completes the
     * whole gang, whose runs are not stopped here.
     *
     * @param task the task
     */
    private void markDone(TaskRecord task) {
        List<TaskRecord> tasks = task.step.spec.gang() ? task.step.allTasks() : List.of(task);
        for (TaskRecord member : tasks) {
            task.step.markDone(member);
            if (!task.step.spec.gang()) {
                stopRuns(member);
            }
        }
    }

    /**
     * Stops all runs of a gang after the run of one member has ended. Does nothing for a task that
     * is not in a gang.
     *
     * @param task the member whose run has ended
     */
    private void stopGang(TaskRecord task) {
        if (!task.step.spec.gang()) {
            return;
        }
        for (TaskRecord member : task.step.records) {
            stopRuns(member);
        }
    }

    /**
     * Stops all runs of a task.
     *
     * @param task the task
     */
    private void stopRuns(TaskRecord task) {
        for (RunRecord record : new ArrayList<>(task.runs)) {
            requestSender.stop(record);
        }
    }

    /**
     * Stores a checkpoint in a task, and in all members if the task belongs to a gang.
     *
     * @param task the task
     * @param checkpoint the checkpoint, or an empty string to keep the present one
     */
    private static void saveCheckpoint(TaskRecord task, String checkpoint) {
        if (checkpoint.isEmpty()) {
            return;
        }
        if (task.step.spec.gang()) {
            task.step.allTasks().forEach(member -> member.checkpoint = checkpoint);
        } else {
            task.checkpoint = checkpoint;
        }
    }

    /**
     * Updates the failure detector of a worker, and the run times of an image, with the end of a
     * run.
     *
     * @param job the job of the run
     * @param worker the worker that reports the end
     * @param record the run, or null if this owner did not know it
     * @param end the end of the run
     */
    private void recordOutcome(
            Job job, WorkerRecord worker, @Nullable RunRecord record, EndedRun end) {
        if (end.kind() == EndKind.DONE) {
            worker.failureDetector.recordSuccess();
            if (record != null && record.task != null && record.hasRepresentativeRunTime()) {
                runTimes.observe(record.task.step.spec, context.now() - record.trackedSinceMillis);
            }
        } else if (end.kind() == EndKind.FAILED
                && context.settings.policies().isEnabled(Policy.FAILING_WORKER_AVOIDANCE)) {
            recordFailure(job, worker);
        }
    }

    /**
     * Updates the failure detector of a worker with a failed run. The failure does not count
     * against the worker if the submission has also failed on another worker, or if so many workers
     * are suspect that the submissions are the likely cause.
     *
     * @param job the job of the run
     * @param worker the worker that ran it
     */
    private void recordFailure(Job job, WorkerRecord worker) {
        boolean failedElsewhere =
                job.failedWorkerIds.stream().anyMatch(id -> !id.equals(worker.id));
        job.failedWorkerIds.add(worker.id);
        long now = context.now();
        long suspects =
                context.allWorkers().stream()
                        .filter(other -> other.failureDetector.isSuspect(now))
                        .count();
        boolean tooManySuspects =
                (suspects + 1) * MIN_WORKERS_PER_SUSPECT > context.allWorkers().size();
        if (!failedElsewhere
                && !tooManySuspects
                && worker.failureDetector.recordFailure(job.id(), now)) {
            context.log.log(
                    "worker.suspect",
                    "worker",
                    worker.id,
                    "reason",
                    "runs of different submissions failed in a row");
        }
    }

    /**
     * Sets the final state of a job that is done or has a task without attempts left, and stops its
     * runs.
     *
     * @param job the job
     */
    private void finishIfDoneOrFailed(Job job) {
        context.workCounters.onEnd();
        if (job.isDone()) {
            job.state = SubmissionState.SUCCEEDED;
        } else if (hasExhaustedAttempts(job)) {
            job.state = SubmissionState.FAILED;
        } else {
            return;
        }
        context.log.log("job.over", "id", job.id(), "state", job.state);
        stopAllRuns(job);
    }

    /**
     * Returns whether any task or gang of a job has no attempts left, or is given up since it
     * crashes its workers.
     *
     * @param job the job
     * @return whether one has none left
     */
    private boolean hasExhaustedAttempts(Job job) {
        int maxAttempts = job.terms().maximumAttempts();
        for (OccurrenceRecord occurrence : job.occurrences.values()) {
            for (StepRecord step : occurrence.stepsWithRecords()) {
                context.workCounters.onStepOfEnd();
                boolean givenUp =
                        step.records.stream()
                                .anyMatch(task -> task.isOwed() && task.crashes.isGivenUp());
                if (givenUp || (!step.spec.lasting() && hasExhaustedAttempts(step, maxAttempts))) {
                    return true;
                }
            }
        }
        return false;
    }

    /**
     * Returns whether any unfinished task of a step has no attempts left. The members of a gang
     * share their attempts: their runs with the same number are one run of the gang, which fails
     * once however many of them fail.
     *
     * @param step the step
     * @param maxAttempts the number of runs that may fail
     * @return whether one has none left
     */
    private static boolean hasExhaustedAttempts(StepRecord step, int maxAttempts) {
        if (step.spec.gang()) {
            long failedRuns =
                    step.records.stream()
                            .flatMap(task -> task.failedRunNumbers.stream())
                            .distinct()
                            .count();
            return !step.isDone() && failedRuns >= maxAttempts;
        }
        return step.records.stream()
                .anyMatch(task -> !task.done && task.failedRunNumbers.size() >= maxAttempts);
    }

    /**
     * Stops all runs of a job.
     *
     * @param job the job
     */
    private void stopAllRuns(Job job) {
        for (OccurrenceRecord occurrence : job.occurrences.values()) {
            for (StepRecord step : occurrence.stepsWithRecords()) {
                for (TaskRecord task : step.records) {
                    stopRuns(task);
                }
            }
        }
    }
}
