package org.damasktiller.scheduler.cell;

import java.util.ArrayList;
import java.util.List;
import org.damasktiller.scheduler.estimate.RunTimeEstimator;
import org.damasktiller.scheduler.model.StepSpec;
import org.damasktiller.scheduler.order.Lateness;
import org.damasktiller.scheduler.order.OrderKey;
import org.damasktiller.scheduler.order.WorkRank;

/** Collects the steps that have waiting tasks, with what their place in the order depends on. */
final class WaitingStepCollector {

    /**
     * The multiple of its objective after which work is of no use, from the platform's
     * documentation.
     */
    private static final int TOO_LATE_FACTOR = 3;

    /**
     * The most waiting steps of a submission that a pass collects, which bounds its duration: some
     * times as many as it may start. Each pass goes on where the one before has stopped.
     */
    private static final int MAX_STEPS_PER_SUBMISSION = 4 * TaskScheduler.MAX_STARTS_PER_PASS;

    /**
     * How long nothing of a submission has run until it goes before others, in milliseconds: half
     * of what the platform allows while the cell has room.
     */
    private static final long MAX_IDLE_MILLIS = 1_500;

    /** The shared state of the cell's owner. */
    private final CellContext context;

    /** Estimates run times. */
    private final RunTimeEstimator runTimes;

    /** Tells up to which store revision this owner is verified to own the cell. */
    private final OwnershipVerifier ownership;

    /** Knows how much of the cell is in use. */
    private final WorkerSelector workerSelector;

    /** Begins the occurrences that are due. */
    private final DueOccurrences dueOccurrences;

    /** Computes by when jobs have to be done. */
    private final JobObjectives objectives;

    /**
     * Creates a collector.
     *
     * @param context the shared state of the cell's owner
     * @param runTimes estimates run times
     * @param ownership tells up to which store revision this owner is verified to own the cell
     * @param workerSelector knows how much of the cell is in use
     */
    WaitingStepCollector(
            CellContext context,
            RunTimeEstimator runTimes,
            OwnershipVerifier ownership,
            WorkerSelector workerSelector) {
        this.context = context;
        this.runTimes = runTimes;
        this.ownership = ownership;
        this.workerSelector = workerSelector;
        this.dueOccurrences = new DueOccurrences(context);
        this.objectives = new JobObjectives(context);
    }

    /**
     * Collects the waiting steps of all jobs that may start, after their due occurrences have
     * begun.
     *
     * @return the steps, in the order of the jobs
     */
    List<WaitingStep> collect() {
        dueOccurrences.beginPass();
        List<WaitingStep> waitingSteps = new ArrayList<>();
        long dueLimitUnixMillis =
                context.runtime.unixMillis() + context.settings.earlyStartMillis();
        for (Job job : context.jobs.values()) {
            if (!mayStart(job)) {
                continue;
            }
            if (job.runCount > 0) {
                job.idleSinceMillis = 0;
            } else if (job.idleSinceMillis == 0) {
                job.idleSinceMillis = context.now();
            }
            dueOccurrences.begin(job, dueLimitUnixMillis);
            collect(job, waitingSteps);
        }
        return waitingSteps;
    }

    /**
     * Collects the waiting steps of a job, or the next ones if there are very many.
     *
     * @param job the job
     * @param waitingSteps the list to which the steps are added
     */
    private void collect(Job job, List<WaitingStep> waitingSteps) {
        int limit = waitingSteps.size() + MAX_STEPS_PER_SUBMISSION;
        int first = job.nextCollectedOccurrence;
        int firstStep = job.nextCollectedStep;
        for (OccurrenceRecord occurrence : job.occurrences.tailMap(first, true).values()) {
            int from = occurrence.number == first ? firstStep : 0;
            if (!collect(occurrence, from, occurrence.steps.size(), waitingSteps, limit)) {
                return;
            }
        }
        for (OccurrenceRecord occurrence : job.occurrences.headMap(first, true).values()) {
            int end = occurrence.number == first ? firstStep : occurrence.steps.size();
            if (!collect(occurrence, 0, end, waitingSteps, limit)) {
                return;
            }
        }
    }

    /**
     * Returns the CPU that the waiting urgent tasks need.
     *
     * @param waitingSteps the steps with waiting tasks
     * @return the CPU, in millicores
     */
    long urgentMillicores(List<WaitingStep> waitingSteps) {
        long now = context.now();
        long sum = 0;
        for (WaitingStep waiting : waitingSteps) {
            if (waiting.key().rank() == WorkRank.URGENT) {
                StepRecord step = waiting.step();
                long count =
                        step.freshWaitingCount()
                                + step.records.stream().filter(task -> mayStart(task, now)).count();
                sum += count * step.spec.need().cpuMillicores();
            }
        }
        return sum;
    }

    /**
     * Returns whether tasks of a job may start. The job must be open and covered by a check of
     * ownership, and no previous owner may have left a run of it that this owner does not know. The
     * entry of a job of which tasks have moved may be newer than the term although tasks ran
     * before.
     *
     * @param job the job
     * @return whether its tasks may start
     */
    private boolean mayStart(Job job) {
        if (job.state.isFinal()
                || job.isHeldBack()
                || job.departing
                || !ownership.covers(job.openRevision)) {
            return false;
        }
        return context.previousOwners.areFenced()
                || (job.part == null && job.createdRevision > context.term.headRevision());
    }

    /**
     * Returns whether a task waits for a worker and no run that a previous owner has started may be
     * active on a closed worker.
     *
     * @param task the task, of a job whose tasks may start
     * @param nowMillis the current time, in milliseconds
     * @return whether it may start
     */
    boolean mayStart(TaskRecord task, long nowMillis) {
        return task.isWaiting(nowMillis) && !context.previousOwners.holds(task.id);
    }

    /**
     * Collects steps of an occurrence that have waiting tasks, and records since when they wait.
     *
     * @param occurrence the occurrence
     * @param from the number of the first step to look at
     * @param end the number of the step before which to stop
     * @param waitingSteps the list to which the steps are added
     * @param limit the size of the list from which on no step is added
     * @return whether all steps that wait were added; if not, the next pass begins with the others
     */
    private boolean collect(
            OccurrenceRecord occurrence,
            int from,
            int end,
            List<WaitingStep> waitingSteps,
            int limit) {
        long now = context.now();
        RemainingWork remaining = null;
        context.workCounters.onStepsVisited(end - from);
        for (StepRecord step : occurrence.steps.subList(from, end)) {
            if (step.isDone() || !step.areDependenciesDone()) {
                continue;
            }
            boolean fresh = step.freshWaitingCount() > 0;
            List<TaskRecord> recorded = waitingRecords(step, now);
            if (!fresh && recorded.isEmpty()) {
                continue;
            }
            if (waitingSteps.size() >= limit) {
                occurrence.job.nextCollectedOccurrence = occurrence.number;
                occurrence.job.nextCollectedStep = step.number;
                return false;
            }
            if (fresh && step.freshReadySinceMillis == 0) {
                step.freshReadySinceMillis = now;
            }
            boolean hasRunBefore = false;
            for (TaskRecord task : recorded) {
                hasRunBefore |= task.everRan;
                if (task.readySinceMillis == 0) {
                    task.readySinceMillis = now;
                }
            }
            if (remaining == null) {
                context.workCounters.onStepsVisited(occurrence.steps.size());
                remaining = new RemainingWork(occurrence, runTimes);
            }
            waitingSteps.add(toWaitingStep(step, hasRunBefore, remaining));
        }
        return true;
    }

    /**
     * Lists the tasks of a step that have records and may start.
     *
     * @param step the step
     * @param nowMillis the current time, in milliseconds
     * @return the records
     */
    private List<TaskRecord> waitingRecords(StepRecord step, long nowMillis) {
        if (step.records.recordCount() == 0) {
            return List.of();
        }
        List<TaskRecord> waiting = new ArrayList<>();
        for (TaskRecord task : step.records) {
            if (mayStart(task, nowMillis)) {
                waiting.add(task);
            }
        }
        return waiting;
    }

    /**
     * Computes the sort keys of a waiting step.
     *
     * @param step the step
     * @param hasRunBefore whether one of its waiting tasks has run before
     * @param remaining what its occurrence still takes
     * @return the step with its sort keys
     */
    private WaitingStep toWaitingStep(
            StepRecord step, boolean hasRunBefore, RemainingWork remaining) {
        StepSpec spec = step.spec;
        Job job = step.occurrence.job;
        WorkRank rank = WorkRank.URGENT;
        if (spec.lasting()) {
            rank = hasRunBefore ? WorkRank.RESTART : WorkRank.LONG_RUNNING;
        } else if (spec.filling()) {
            rank = WorkRank.FILLER;
        }
        long objectiveMillis = objectives.objectiveMillis(job, remaining.totalMillis());
        long expectedLatencyMillis = objectives.elapsedMillis(job) + remaining.millis(step);
        Lateness lateness =
                expectedLatencyMillis <= objectiveMillis ? Lateness.ON_TIME : Lateness.LATE;
        if (expectedLatencyMillis > TOO_LATE_FACTOR * objectiveMillis) {
            lateness = Lateness.TOO_LATE;
        }
        step.lateness = lateness;
        return new WaitingStep(
                step,
                new OrderKey(
                        rank == WorkRank.RESTART || isPassedOver(job),
                        rank,
                        lateness,
                        job.terms().priority(),
                        remaining.work(step),
                        job.createdRevision));
    }

    /**
     * Returns whether nothing of a job has run for some time although the cell is less than half
     * full.
     *
     * @param job the job
     * @return whether it goes before jobs of which something runs
     */
    private boolean isPassedOver(Job job) {
        return job.runCount == 0
                && job.idleSinceMillis > 0
                && context.now() - job.idleSinceMillis >= MAX_IDLE_MILLIS
                && workerSelector.hasRoomInCell();
    }
}
