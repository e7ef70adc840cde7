package org.damasktiller.verification.owner;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.damasktiller.scheduler.model.EndKind;
import org.damasktiller.scheduler.model.StepSpec;
import org.damasktiller.scheduler.model.Submission;
import org.damasktiller.scheduler.model.SubmissionState;
import org.damasktiller.scheduler.model.TaskId;
import org.damasktiller.standin.fleet.RunObserver;
import org.damasktiller.standin.fleet.SimulatedWorker;
import org.jspecify.annotations.Nullable;

/**
 * Reports tasks of a simulated cell that could run and don't, by the platform's rule on lost work.
 * It knows what callers and workers see, and nothing of the scheduler.
 */
final class WaitingOracle implements RunObserver {

    /** How long after the last disruption tasks may wait, in milliseconds. */
    static final long CALM_MILLIS = 4_000;

    /** How long a task may wait while there is capacity for it, in milliseconds. */
    static final long MAX_WAIT_MILLIS = 3_000;

    /** How long after its last run the wait of a long-running task begins, in milliseconds. */
    private static final long LONG_RUNNING_PAUSE_MILLIS = 6_000;

    /** The time between two samples, in milliseconds. */
    private static final long SAMPLE_MILLIS = 250;

    /** How long a crash by a task disturbs: until the entry of its worker is gone. */
    private static final long CRASH_MILLIS = 4_000;

    /** The cell. */
    private final CellSimulation simulation;

    /** What is known of the tasks that have started. */
    private final Map<TaskId, TaskHistory> histories = new HashMap<>();

    /** The tasks that run on each worker, by its identifier. */
    private final Map<String, List<TaskId>> tasksByWorker = new HashMap<>();

    /** Since when tasks wait that could run, in milliseconds. */
    private final Map<TaskId, Long> waitingSinceMillis = new LinkedHashMap<>();

    /** The tasks that have been reported. */
    private final Set<TaskId> reported = new HashSet<>();

    /** The submissions that were found in a final state. */
    private final Set<String> closed = new HashSet<>();

    /** A line for each task that has waited for too long. */
    private final List<String> violations = new ArrayList<>();

    /** The disruptions that are no planned work. */
    private final Disturbance disruptions = new Disturbance();

    /** The planned work. Long-running tasks may not wait for its end. */
    private final Disturbance plannedWork = new Disturbance();

    /** The number of times that a task was found waiting in a calm cell with room for it. */
    private int judgedCount;

    /**
     * Creates an oracle and starts sampling.
     *
     * @param simulation the cell, of which no submission has started
     */
    WaitingOracle(CellSimulation simulation) {
        this.simulation = simulation;
        simulation.observers.add(this);
        simulation.runtime.schedule(SAMPLE_MILLIS, this::sample);
    }

    /**
     * Notes that a disruption begins. Several may overlap.
     *
     * @param planned whether it is planned work, such as an owner that leaves
     */
    void beginDisruption(boolean planned) {
        (planned ? plannedWork : disruptions).count++;
    }

    /**
     * Notes that a disruption ends.
     *
     * @param planned whether it is planned work
     */
    void endDisruption(boolean planned) {
        Disturbance disturbance = planned ? plannedWork : disruptions;
        disturbance.count--;
        disturbance.endedAtMillis = simulation.runtime.nowMillis();
    }

    /**
     * Returns the tasks that could run and didn't.
     *
     * @return a line for each
     */
    List<String> violations() {
        return violations;
    }

    /**
     * Returns how often a task was found waiting in a calm cell with room for it.
     *
     * @return the number of samples of tasks
     */
    int judgedCount() {
        return judgedCount;
    }

    @Override
    public void started(String worker, TaskId task, int run) {
        histories.computeIfAbsent(task, id -> new TaskHistory()).activeOn.add(worker);
        tasksByWorker.computeIfAbsent(worker, id -> new ArrayList<>()).add(task);
        waitingSinceMillis.remove(task);
    }

    @Override
    public void ended(String worker, TaskId task, int run, @Nullable EndKind kind) {
        TaskHistory history = histories.computeIfAbsent(task, id -> new TaskHistory());
        history.activeOn.remove(worker);
        tasksByWorker.computeIfAbsent(worker, id -> new ArrayList<>()).remove(task);
        history.endedAtMillis = simulation.runtime.nowMillis();
        if (kind == EndKind.DONE) {
            history.doneOn = simulation.workers.get(worker);
            history.doneInBoot = history.doneOn.bootUnixMillis();
        }
    }

    @Override
    public void acknowledged(String worker, TaskId task, int run, EndKind kind) {
        if (kind == EndKind.DONE) {
            histories.computeIfAbsent(task, id -> new TaskHistory()).doneForGood = true;
        }
    }

    @Override
    public void crashed(String worker, TaskId task) {
        beginDisruption(false);
        simulation.runtime.schedule(CRASH_MILLIS, () -> endDisruption(false));
    }

    /** Looks at all tasks, and does so again after an interval. */
    private void sample() {
        simulation.runtime.schedule(SAMPLE_MILLIS, this::sample);
        long now = simulation.runtime.nowMillis();
        if (!disruptions.isOver(now)) {
            waitingSinceMillis.clear();
            return;
        }
        FreeCapacity capacity = new FreeCapacity(simulation, tasksByWorker);
        for (Submission submission : simulation.submissions.values()) {
            if (mayWait(submission)) {
                continue;
            }
            for (int number = 0; number < dueCount(submission); number++) {
                for (int step = 0; step < submission.steps().size(); step++) {
                    sampleStep(submission, number, step, capacity);
                }
            }
        }
    }

    /**
     * Returns whether the tasks of a submission need not run.
     *
     * @param submission the submission
     * @return whether it is neither accepted nor open, or its tasks fail or crash their workers
     */
    private boolean mayWait(Submission submission) {
        if (closed.contains(submission.id())) {
            return true;
        }
        SubmissionState state = simulation.submissionState(submission.id());
        if (state != null && state.isFinal()) {
            closed.add(submission.id());
        }
        return state == null
                || state.isFinal()
                || simulation.failingSubmissions.contains(submission.id())
                || simulation.crashingSubmissions.contains(submission.id());
    }

    /**
     * Returns how many occurrences of a submission are due.
     *
     * @param submission the submission
     * @return their number, 1 if it has no schedule
     */
    private int dueCount(Submission submission) {
        if (!submission.scheduled()) {
            return 1;
        }
        int count = 0;
        while (count < submission.occurrences()
                && submission.dueUnixMillis(count) <= simulation.runtime.unixMillis()) {
            count++;
        }
        return count;
    }

    /**
     * Looks at the tasks of a step.
     *
     * @param submission the submission
     * @param occurrence the number of the occurrence
     * @param number the number of the step
     * @param capacity what is free
     */
    private void sampleStep(
            Submission submission, int occurrence, int number, FreeCapacity capacity) {
        StepSpec spec = submission.steps().get(number);
        for (int earlier : spec.after()) {
            if (!isDone(submission, occurrence, earlier)) {
                return;
            }
        }
        List<TaskId> tasks = tasks(submission, occurrence, number);
        boolean whole = tasks.stream().noneMatch(task -> isActive(task) || isDone(task));
        for (TaskId task : tasks) {
            if (isActive(task) || isDone(task) || (spec.gang() && !whole)) {
                waitingSinceMillis.remove(task);
            } else {
                judge(task, spec, capacity);
            }
        }
    }

    /**
     * Judges a task without a run whose turn has come.
     *
     * @param task the task
     * @param spec its step
     * @param capacity what is free
     */
    private void judge(TaskId task, StepSpec spec, FreeCapacity capacity) {
        long now = simulation.runtime.nowMillis();
        TaskHistory history = histories.get(task);
        boolean restarts = spec.lasting() && history != null;
        boolean mayWait =
                restarts
                        ? now - history.endedAtMillis < LONG_RUNNING_PAUSE_MILLIS
                        : !plannedWork.isOver(now) || !capacity.isUnderHalfReserved();
        if (mayWait
                || !capacity.holdsTwice(task, spec)
                || (spec.filling() && isAnyActive(task.submission()))) {
            waitingSinceMillis.remove(task);
            return;
        }
        judgedCount++;
        long since = waitingSinceMillis.computeIfAbsent(task, id -> now);
        if (now - since >= MAX_WAIT_MILLIS && reported.add(task)) {
            violations.add(
                    String.format(
                            "%s could run since %d ms and doesn't at %d ms: %s; %s",
                            task, since, now, describe(spec), capacity));
        }
    }

    /**
     * Describes a step.
     *
     * @param spec the step
     * @return what it needs
     */
    private static String describe(StepSpec spec) {
        String kind = spec.gang() ? "gang" : "tasks";
        if (spec.lasting()) {
            kind = "long-running";
        } else if (spec.filling()) {
            kind = "fillers";
        }
        return String.format(
                "%d %s of %d millicores, label '%s', at most %d per worker",
                spec.count(),
                kind,
                spec.need().cpuMillicores(),
                spec.requiredLabel(),
                spec.maximumPerWorker());
    }

    /**
     * Returns the tasks of a step.
     *
     * @param submission the submission
     * @param occurrence the number of the occurrence
     * @param number the number of the step
     * @return the identifiers
     */
    private static List<TaskId> tasks(Submission submission, int occurrence, int number) {
        List<TaskId> tasks = new ArrayList<>();
        for (int index = 0; index < submission.steps().get(number).count(); index++) {
            tasks.add(new TaskId(submission.id(), occurrence, number, index));
        }
        return tasks;
    }

    /**
     * Returns whether a step is done.
     *
     * @param submission the submission
     * @param occurrence the number of the occurrence
     * @param number the number of the step
     * @return whether all of its tasks are
     */
    private boolean isDone(Submission submission, int occurrence, int number) {
        return tasks(submission, occurrence, number).stream().allMatch(this::isDone);
    }

    /**
     * Returns whether a task is done and its worker still reports or has reported it.
     *
     * @param task the task
     * @return whether it is
     */
    private boolean isDone(TaskId task) {
        TaskHistory history = histories.get(task);
        if (history == null || history.doneForGood) {
            return history != null;
        }
        SimulatedWorker worker = history.doneOn;
        return worker != null
                && worker.isAlive()
                && worker.bootUnixMillis() == history.doneInBoot
                && !simulation.unreachable.contains(worker.id());
    }

    /**
     * Returns whether a task has a run.
     *
     * @param task the task
     * @return whether any run is active
     */
    private boolean isActive(TaskId task) {
        TaskHistory history = histories.get(task);
        return history != null && !history.activeOn.isEmpty();
    }

    /**
     * Returns whether anything of a submission has a run. Fillers of a submission may wait for each
     * other; for other tasks that would hide what keeps some of them from starting.
     *
     * @param submission the identifier of the submission
     * @return whether any run is active
     */
    private boolean isAnyActive(String submission) {
        return histories.entrySet().stream()
                .filter(entry -> entry.getKey().submission().equals(submission))
                .anyMatch(entry -> !entry.getValue().activeOn.isEmpty());
    }

    /** Disruptions of a kind, which may overlap. */
    private static final class Disturbance {

        /** The number of those that have begun and not ended. */
        private int count;

        /** When the last one ended, in milliseconds. */
        private long endedAtMillis;

        /**
         * Returns whether there has been none for some time.
         *
         * @param nowMillis the current time, in milliseconds
         * @return whether nothing may wait for its end any more
         */
        boolean isOver(long nowMillis) {
            return count == 0 && nowMillis - endedAtMillis >= CALM_MILLIS;
        }
    }

    /** What the workers have shown of a task. */
    private static final class TaskHistory {

        /** The workers on which runs are active. */
        private final List<String> activeOn = new ArrayList<>(1);

        /** When the last run ended, in milliseconds. */
        private long endedAtMillis;

        /** The worker on which a run has succeeded, or null. */
        private @Nullable SimulatedWorker doneOn;

        /** The boot of that worker, in milliseconds since 1970. */
        private long doneInBoot;

        /** Whether a success was acknowledged, so that it counts without its worker. */
        private boolean doneForGood;
    }
}
