package org.damasktiller.scheduler.cell;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.damasktiller.scheduler.model.EndKind;
import org.damasktiller.scheduler.model.EndView;
import org.damasktiller.scheduler.model.Route;
import org.damasktiller.scheduler.model.SubmissionState;
import org.damasktiller.scheduler.model.TaskId;
import org.jspecify.annotations.Nullable;

/** Applies the ends of runs to jobs, and ends jobs that are done, failed or cancelled. */
final class JobBook {

    /** The attempts of a task where the manifest no longer names the route. */
    private static final int DEFAULT_ATTEMPTS = 2;

    /** At most one worker in so many may be suspect. */
    private static final int LEAST_SOUND_FACTOR = 4;

    /** The shared part. */
    private final CellContext context;

    /** Stores the changes. */
    private final CommitQueue commits;

    /** Stops runs. */
    private final RunOrders orders;

    /** The figures of run times. */
    private final RunTimes runTimes;

    /**
     * Creates a book.
     *
     * @param context the shared part
     * @param commits stores the changes
     * @param orders stops runs
     * @param runTimes the figures of run times
     */
    JobBook(CellContext context, CommitQueue commits, RunOrders orders, RunTimes runTimes) {
        this.context = context;
        this.commits = commits;
        this.orders = orders;
        this.runTimes = runTimes;
    }

    /**
     * Finds the task of an open submission.
     *
     * @param id the name
     * @return the task, or null if the submission is not open or has no such task
     */
    @Nullable TaskRecord find(TaskId id) {
        Job job = context.jobs.get(id.submission());
        return job == null || job.state.isFinal() ? null : job.find(id);
    }

    /**
     * Notes that a run is confirmed at work.
     *
     * @param task the task
     */
    void started(TaskRecord task) {
        Job job = task.step.occurrence.job;
        if (job.state == SubmissionState.QUEUED) {
            job.state = SubmissionState.RUNNING;
        }
        if (task.step.spec.lasting() && !task.everRan) {
            task.everRan = true;
            commits.enqueue(job);
        }
    }

    /**
     * Applies an end that a worker lists.
     *
     * @param worker the worker
     * @param end the end
     * @return the end with the change that must be stored before the worker may forget it
     */
    PendingEnd apply(WorkerRecord worker, EndView end) {
        RunRecord record = worker.runs.get(new RunKey(end.task(), end.run()));
        if (record != null) {
            worker.remove(record);
        }
        Job job = context.jobs.get(end.task().submission());
        TaskRecord task = find(end.task());
        if (job == null || task == null) {
            return new PendingEnd(end.sequence(), end.run(), job, job == null ? 0 : job.version);
        }
        boolean news =
                end.run() > task.endedRun
                        || end.kind() == EndKind.DONE
                        || end.kind() == EndKind.FAILED;
        if (news && !task.done) {
            started(task);
            noteConduct(job, worker, record, end);
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
            take(task, worker, end);
            commits.enqueue(job);
            finishIfOver(job);
        }
        return new PendingEnd(end.sequence(), end.run(), job, job.version);
    }

    /**
     * Applies the loss of a run that left no end: its worker restarted or its lease expired.
     *
     * @param record the run
     * @param reason why the run is known to be over
     */
    void lost(RunRecord record, String reason) {
        record.worker.remove(record);
        TaskRecord task = record.task;
        context.log.log(
                "run.lost",
                "task",
                record.id,
                "run",
                record.run,
                "worker",
                record.worker.id,
                "reason",
                reason);
        if (task != null && !task.done) {
            keepCheckpoint(task, record.checkpoint);
            breakGang(task);
        }
    }

    /**
     * Ends a job that its caller has cancelled.
     *
     * @param job the job
     */
    void cancel(Job job) {
        context.log.log("job.cancelled", "id", job.id(), "cell", context.cell);
        job.state = SubmissionState.CANCELLED;
        commits.discard(job);
        context.removeJob(job);
        stopAll(job);
    }

    /**
     * Ends a job whose final state is stored.
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
                context.now() - job.seenMillis);
    }

    /**
     * Counts the submissions of each route that wait for their first start.
     *
     * @return the counts by the name of the route
     */
    Map<String, Integer> pending() {
        Map<String, Integer> counts = new TreeMap<>();
        for (Job job : context.jobs.values()) {
            if (job.state == SubmissionState.QUEUED) {
                counts.merge(job.accepted.route(), 1, Integer::sum);
            }
        }
        return counts;
    }

    /**
     * Changes a task by an end.
     *
     * @param task the task
     * @param worker the worker
     * @param end the end
     */
    private void take(TaskRecord task, WorkerRecord worker, EndView end) {
        boolean newest = end.run() >= task.endedRun;
        task.endedRun = Math.max(task.endedRun, end.run());
        task.lastRun = Math.max(task.lastRun, end.run());
        switch (end.kind()) {
            case DONE -> markDone(task);
            case FAILED -> {
                if (!task.step.spec.lasting()) {
                    task.failedRuns.add(end.run());
                }
                task.failedAt.add(worker.id);
            }
            default -> {
                // Nothing but the saved progress is kept of a run that was ended by others.
            }
        }
        if (newest) {
            keepCheckpoint(task, end.checkpoint());
        }
        if (end.kind() != EndKind.DONE) {
            breakGang(task);
        }
    }

    /**
     * Marks a task as done, and with one member all of its gang; other runs of them are stopped.
     *
     * @param task the task
     */
    private void markDone(TaskRecord task) {
        List<TaskRecord> tasks = task.step.spec.gang() ? task.step.tasks : List.of(task);
        for (TaskRecord member : tasks) {
            task.step.markDone(member);
            if (!task.step.spec.gang()) {
                stopRuns(member);
            }
        }
    }

    /**
     * Stops the other members of a gang of which one has ended.
     *
     * @param task the member that has ended
     */
    private void breakGang(TaskRecord task) {
        if (!task.step.spec.gang()) {
            return;
        }
        for (TaskRecord member : task.step.tasks) {
            stopRuns(member);
        }
    }

    /**
     * Stops the runs of a task.
     *
     * @param task the task
     */
    private void stopRuns(TaskRecord task) {
        for (RunRecord record : new ArrayList<>(task.runs)) {
            orders.stop(record);
        }
    }

    /**
     * Keeps saved progress; a gang shares that of any member.
     *
     * @param task the task
     * @param checkpoint the saved progress, empty for none
     */
    private static void keepCheckpoint(TaskRecord task, String checkpoint) {
        if (checkpoint.isEmpty()) {
            return;
        }
        if (task.step.spec.gang()) {
            task.step.tasks.forEach(member -> member.checkpoint = checkpoint);
        } else {
            task.checkpoint = checkpoint;
        }
    }

    /**
     * Notes what an end says of its worker and of the run times of its image.
     *
     * @param job the job
     * @param worker the worker
     * @param record the run, or null if it was not known
     * @param end the end
     */
    private void noteConduct(
            Job job, WorkerRecord worker, @Nullable RunRecord record, EndView end) {
        if (end.kind() == EndKind.DONE) {
            worker.conduct.done();
            if (record != null && record.task != null && record.undisturbed()) {
                runTimes.observe(record.task.step.spec, context.now() - record.sinceMillis);
            }
        } else if (end.kind() == EndKind.FAILED) {
            noteFailure(job, worker);
        }
    }

    /**
     * Notes a failed run. One of a submission that has failed elsewhere says nothing of the worker;
     * and where many workers are suspect, the submissions are at fault.
     *
     * @param job the job
     * @param worker the worker
     */
    private void noteFailure(Job job, WorkerRecord worker) {
        boolean elsewhere = job.failedAt.stream().anyMatch(id -> !id.equals(worker.id));
        job.failedAt.add(worker.id);
        long now = context.now();
        long suspects =
                context.allWorkers().stream().filter(other -> other.conduct.suspect(now)).count();
        boolean many = (suspects + 1) * LEAST_SOUND_FACTOR > context.allWorkers().size();
        if (!elsewhere && !many && worker.conduct.failed(job.id(), now)) {
            context.log.log("worker.suspect", "worker", worker.id, "reason", "runs fail in a row");
        }
    }

    /**
     * Ends a job that is done or has used up its attempts.
     *
     * @param job the job
     */
    private void finishIfOver(Job job) {
        if (job.allDone()) {
            job.state = SubmissionState.SUCCEEDED;
        } else if (exhausted(job)) {
            job.state = SubmissionState.FAILED;
        } else {
            return;
        }
        context.log.log("job.over", "id", job.id(), "state", job.state);
        stopAll(job);
    }

    /**
     * Tells whether a task or a gang has used up its attempts.
     *
     * @param job the job
     * @return whether one has
     */
    private boolean exhausted(Job job) {
        int attempts = attempts(job);
        for (OccurrenceRecord occurrence : job.occurrences.values()) {
            for (StepRecord step : occurrence.steps) {
                if (!step.spec.lasting() && exhausted(step, attempts)) {
                    return true;
                }
            }
        }
        return false;
    }

    /**
     * Tells whether a task of a step or its gang has used up its attempts.
     *
     * @param step the step
     * @param attempts the attempts
     * @return whether one has
     */
    private static boolean exhausted(StepRecord step, int attempts) {
        if (step.spec.gang()) {
            int failures = step.tasks.stream().mapToInt(task -> task.failedRuns.size()).sum();
            return !step.done() && failures >= attempts;
        }
        return step.tasks.stream()
                .anyMatch(task -> !task.done && task.failedRuns.size() >= attempts);
    }

    /**
     * Returns how often a task of a job may fail.
     *
     * @param job the job
     * @return the number of attempts
     */
    int attempts(Job job) {
        Route route = context.manifest.byName(job.accepted.route());
        return route == null ? DEFAULT_ATTEMPTS : Math.max(1, route.maximumAttempts());
    }

    /**
     * Stops every run of a job.
     *
     * @param job the job
     */
    private void stopAll(Job job) {
        for (OccurrenceRecord occurrence : job.occurrences.values()) {
            for (StepRecord step : occurrence.steps) {
                for (TaskRecord task : step.tasks) {
                    stopRuns(task);
                }
            }
        }
    }
}
