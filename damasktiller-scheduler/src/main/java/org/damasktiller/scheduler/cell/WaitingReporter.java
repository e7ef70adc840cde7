package org.damasktiller.scheduler.cell;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.LongSummaryStatistics;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Logs why tasks wait for long although their turn has come: how many steps wait for each cause,
 * and lines that explain a step by one of its tasks. Only few steps are explained at a time,
 * long-running ones first, since each takes a look at all workers.
 */
final class WaitingReporter {

    /** The time between two looks at the waiting tasks, in milliseconds. */
    private static final long CHECK_INTERVAL_MILLIS = 1_000;

    /** How long a task waits before it is explained, in milliseconds. */
    private static final long MIN_WAIT_MILLIS = 2_000;

    /** The shortest time between two lines on a step or a cause, in milliseconds. */
    private static final long REPORT_INTERVAL_MILLIS = 5_000;

    /** The most steps that are explained at a look. */
    private static final int MAX_STEPS_PER_CHECK = 8;

    /** The most steps of a submission whose waiting is followed; each of them takes a record. */
    private static final int MAX_STEPS_PER_SUBMISSION = 64;

    /** The order in which steps are explained. */
    private static final Comparator<WaitingSample> ORDER =
            Comparator.comparing((WaitingSample sample) -> !sample.task.step.spec.lasting())
                    .thenComparingLong(sample -> sample.reportedAtMillis)
                    .thenComparingLong(sample -> sample.sinceMillis);

    /** The shared state of the cell's owner. */
    private final CellContext context;

    /** Decides which workers may get a task. */
    private final WorkerSelector workerSelector;

    /** Tells up to which store revision this owner is verified to own the cell. */
    private final OwnershipVerifier ownership;

    /** Tells which tasks may crash their workers. */
    private final CrashTracker crashTracker;

    /** When the waiting steps were last counted by cause, in milliseconds. */
    private long countedAtMillis = WorkerRecord.NEVER;

    /** A waiting task of each step that has one. */
    private Map<StepRecord, WaitingSample> samples = new HashMap<>();

    /**
     * Creates a reporter that has not started.
     *
     * @param context the shared state of the cell's owner
     * @param workerSelector decides which workers may get a task
     * @param ownership tells up to which store revision this owner is verified to own the cell
     * @param crashTracker tells which tasks may crash their workers
     */
    WaitingReporter(
            CellContext context,
            WorkerSelector workerSelector,
            OwnershipVerifier ownership,
            CrashTracker crashTracker) {
        this.context = context;
        this.workerSelector = workerSelector;
        this.ownership = ownership;
        this.crashTracker = crashTracker;
    }

    /** Looks at the waiting tasks from now on at intervals. */
    void start() {
        context.repeat(CHECK_INTERVAL_MILLIS, "waiting", this::check);
    }

    /** Explains steps that have waited for long. */
    private void check() {
        updateSamples();
        long now = context.now();
        samples.values().stream()
                .filter(sample -> now - sample.sinceMillis >= MIN_WAIT_MILLIS)
                .filter(sample -> now - sample.reportedAtMillis >= REPORT_INTERVAL_MILLIS)
                .sorted(ORDER)
                .limit(MAX_STEPS_PER_CHECK)
                .forEach(this::report);
        if (now - countedAtMillis >= REPORT_INTERVAL_MILLIS) {
            countedAtMillis = now;
            logCounts(now);
        }
    }

    /**
     * Logs for each cause how many steps have waited for long, and for how long the first of them.
     *
     * @param now the current time, in milliseconds
     */
    private void logCounts(long now) {
        Map<WaitingCause, LongSummaryStatistics> ages = new EnumMap<>(WaitingCause.class);
        for (WaitingSample sample : samples.values()) {
            long ageMillis = now - sample.sinceMillis;
            if (ageMillis >= MIN_WAIT_MILLIS) {
                ages.computeIfAbsent(causeOf(sample.task), cause -> new LongSummaryStatistics())
                        .accept(ageMillis);
            }
        }
        ages.forEach(
                (cause, age) ->
                        context.log.log(
                                "waiting." + cause.name().toLowerCase(Locale.ROOT),
                                "cell",
                                context.cell,
                                "steps",
                                age.getCount(),
                                "millis",
                                age.getMax()));
    }

    /**
     * Determines a waiting task of each step, of the first ones of a submission if many wait. It is
     * the same as before while that one waits.
     */
    private void updateSamples() {
        Map<StepRecord, WaitingSample> next = new HashMap<>();
        for (Job job : context.jobs.values()) {
            if (job.state.isFinal()) {
                continue;
            }
            addSamples(job, next);
        }
        samples = next;
    }

    /**
     * Determines a waiting task of each of the first waiting steps of a submission.
     *
     * @param job the submission
     * @param next receives the tasks
     */
    private void addSamples(Job job, Map<StepRecord, WaitingSample> next) {
        int left = MAX_STEPS_PER_SUBMISSION;
        for (OccurrenceRecord occurrence : job.occurrences.values()) {
            for (StepRecord step : occurrence.steps) {
                WaitingSample sample = left > 0 ? sampleOf(step) : null;
                if (sample != null) {
                    next.put(step, sample);
                    left--;
                }
            }
        }
    }

    /**
     * Determines a waiting task of a step.
     *
     * @param step the step
     * @return the task with the time since which it waits, or null if no task of the step waits
     */
    private @Nullable WaitingSample sampleOf(StepRecord step) {
        if (step.isDone() || !step.areDependenciesDone()) {
            return null;
        }
        WaitingSample before = samples.get(step);
        if (before != null && isWaiting(before.task)) {
            return before;
        }
        TaskRecord task = firstWaiting(step);
        if (task == null) {
            return null;
        }
        WaitingSample sample = new WaitingSample(task, context.now());
        sample.reportedAtMillis = before == null ? WorkerRecord.NEVER : before.reportedAtMillis;
        return sample;
    }

    /**
     * Returns the first waiting task of a step, which has a record from now on.
     *
     * @param step the step
     * @return the task, or null if none waits
     */
    private static @Nullable TaskRecord firstWaiting(StepRecord step) {
        int fresh = step.freshWaitingCount() == 0 ? step.count() : step.records.nextFresh(0);
        for (TaskRecord task : step.records) {
            if (task.id.index() > fresh) {
                break;
            }
            if (isWaiting(task)) {
                return task;
            }
        }
        return fresh == step.count() ? null : step.task(fresh);
    }

    /**
     * Returns whether a task of a step whose turn has come is at home in the cell and neither done
     * nor active.
     *
     * @param task the task
     * @return whether it has no run that is active or about to start
     */
    private static boolean isWaiting(TaskRecord task) {
        return !task.done
                && !task.away
                && task.runs.stream()
                        .allMatch(
                                run ->
                                        run.phase == RunPhase.UNCERTAIN
                                                || run.phase == RunPhase.STOPPING);
    }

    /**
     * Logs why a task waits.
     *
     * @param sample the task
     */
    private void report(WaitingSample sample) {
        TaskRecord task = sample.task;
        StepRecord step = task.step;
        long now = context.now();
        sample.reportedAtMillis = now;
        WaitingCause cause = causeOf(task);
        List<Object> fields = new ArrayList<>();
        fields.addAll(List.of("cell", context.cell, "step", step.name(), "task", task.id));
        fields.addAll(
                List.of(
                        "waiting",
                        step.freshWaitingCount()
                                + step.records.stream()
                                        .filter(WaitingReporter::isWaiting)
                                        .count()));
        fields.addAll(List.of("forMillis", now - sample.sinceMillis, "cause", cause));
        fields.addAll(List.of("need", step.spec.reserved()));
        fields.addAll(List.of("maximumPerWorker", step.spec.maximumPerWorker()));
        if (cause == WaitingCause.HELD_BY_PREVIOUS_RUN) {
            fields.addAll(List.of("holders", context.previousOwners.holdersOf(task.id)));
        }
        if (!task.runs.isEmpty()) {
            RunRecord run = task.runs.get(0);
            fields.addAll(List.of("worker", run.worker.id, "run", run.runNumber));
            fields.addAll(List.of("phase", run.phase, "age", now - run.trackedSinceMillis));
        }
        if (!context.siblingCells.isEmpty()) {
            Job job = step.occurrence.job;
            fields.addAll(
                    List.of("stays", SubmissionMove.findObstacle(job, context.previousOwners)));
        }
        if (cause == WaitingCause.NO_WORKER || cause == WaitingCause.SUSPECT) {
            fields.addAll(List.of("workers", workerSelector.countVerdicts(task).toString()));
        }
        context.log.log("step.waiting", fields.toArray());
    }

    /**
     * Determines why a waiting task does not start.
     *
     * @param task the task
     * @return the first cause that applies
     */
    private WaitingCause causeOf(TaskRecord task) {
        StepRecord step = task.step;
        WaitingCause cause = causeOfJob(step.occurrence.job);
        if (cause != null) {
            return cause;
        }
        if (context.previousOwners.holds(task.id)) {
            return WaitingCause.HELD_BY_PREVIOUS_RUN;
        }
        if (!task.runs.isEmpty()) {
            return task.runs.stream().anyMatch(RunRecord::mayArrive)
                    ? WaitingCause.START_MAY_ARRIVE
                    : WaitingCause.RUN_NOT_STOPPED;
        }
        if (context.now() < task.earliestStartMillis) {
            return WaitingCause.START_DELAYED;
        }
        if (crashTracker.isOutcomePending(task)) {
            return WaitingCause.OUTCOME_PENDING;
        }
        if (step.spec.gang()
                && (step.freshWaitingCount() + step.records.recordCount() < step.count()
                        || !step.records.stream().allMatch(this::mayStart))) {
            return WaitingCause.GANG_NOT_READY;
        }
        return task.crashes.isSuspect() ? WaitingCause.SUSPECT : WaitingCause.NO_WORKER;
    }

    /**
     * Determines why no waiting task of a job starts.
     *
     * @param job the job
     * @return the first cause that applies, or null if its tasks may start
     */
    private @Nullable WaitingCause causeOfJob(Job job) {
        if (job.progressUnreadable) {
            return WaitingCause.PROGRESS_UNREADABLE;
        }
        if (job.setAside) {
            return WaitingCause.PROGRESS_SET_ASIDE;
        }
        if (!ownership.covers(job.openRevision)) {
            return WaitingCause.OWNERSHIP_NOT_VERIFIED;
        }
        boolean older = job.part != null || job.createdRevision <= context.term.headRevision();
        return older && !context.previousOwners.areFenced()
                ? WaitingCause.PREVIOUS_OWNERS_NOT_EXCLUDED
                : null;
    }

    /**
     * Returns whether a member of a gang may start.
     *
     * @param task the member
     * @return whether it has no run, and none of a previous owner may be active
     */
    private boolean mayStart(TaskRecord task) {
        return task.isWaiting(context.now()) && !context.previousOwners.holds(task.id);
    }

    /** A waiting task that stands for its step. */
    private static final class WaitingSample {

        /** The task. */
        private final TaskRecord task;

        /** When the task was first found waiting, in milliseconds. */
        private final long sinceMillis;

        /**
         * When the step was last explained, in milliseconds, or {@link WorkerRecord#NEVER} if it
         * was not while it waits.
         */
        private long reportedAtMillis;

        /**
         * Creates a sample.
         *
         * @param task the task
         * @param sinceMillis when the task was first found waiting, in milliseconds
         */
        WaitingSample(TaskRecord task, long sinceMillis) {
            this.task = task;
            this.sinceMillis = sinceMillis;
        }
    }
}
