package org.damasktiller.scheduler.cell;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.damasktiller.scheduler.model.StepSpec;
import org.damasktiller.scheduler.model.SubmissionPart;
import org.damasktiller.scheduler.model.TaskId;
import org.damasktiller.scheduler.order.Lateness;
import org.jspecify.annotations.Nullable;

/** The tasks and the progress of one step of an occurrence. */
public final class StepRecord {

    /** The step as the submission declares it. */
    final StepSpec spec;

    /** The number of the step in its submission, from 0. */
    final int number;

    /** The occurrence that the step belongs to. */
    final OccurrenceRecord occurrence;

    /** The records of the tasks that differ from what the submission declares. */
    final TaskTable records;

    /** The tickets of the advice service, by the identifier of the worker. */
    final Map<String, AdviceTicket> ticketsByWorkerId = new HashMap<>();

    /**
     * The identifiers of the workers that the advice service has rejected for this step. The
     * service does not change its answer.
     */
    final Set<String> rejectedWorkerIds = new HashSet<>();

    /** Whether the job can still be on time, as of the last pass in which a task waited. */
    Lateness lateness = Lateness.ON_TIME;

    /**
     * Whether tasks of the step came from another cell, whose owner has seen the earlier steps end.
     */
    boolean readyElsewhere;

    /** The number of tasks that are done. */
    int doneCount;

    /**
     * When the tasks without a record were first found ready to start, in milliseconds, or 0 if
     * they were not yet.
     */
    long freshReadySinceMillis;

    /**
     * Creates a step in which no task has run.
     *
     * @param spec the step as the submission declares it
     * @param number the number of the step in its submission, from 0
     * @param occurrence the occurrence that the step belongs to
     */
    StepRecord(StepSpec spec, int number, OccurrenceRecord occurrence) {
        this.spec = spec;
        this.number = number;
        this.occurrence = occurrence;
        this.records = new TaskTable(Math.max(0, spec.count()));
    }

    /**
     * Returns the number of tasks.
     *
     * @return the number, with and without records
     */
    int count() {
        return records.count();
    }

    /**
     * Returns the identifier of a task.
     *
     * @param index the number of the task in the step, from 0
     * @return the identifier
     */
    TaskId idOf(int index) {
        return new TaskId(occurrence.job.id(), occurrence.number, number, index);
    }

    /**
     * Returns a task, which has a record from now on.
     *
     * @param index the number of the task in the step, from 0
     * @return the record of the task
     */
    TaskRecord task(int index) {
        TaskRecord present = records.find(index);
        return present == null ? keep(view(index)) : present;
    }

    /**
     * Returns a task to look at. A task without a record has none afterwards either, so that what
     * is changed in the returned one is lost.
     *
     * @param index the number of the task in the step, from 0
     * @return the record of the task, or one that says the same
     */
    TaskRecord view(int index) {
        TaskRecord present = records.find(index);
        if (present != null) {
            return present;
        }
        TaskRecord view = new TaskRecord(idOf(index), this);
        view.done = records.hasEnded(index);
        view.readySinceMillis = freshReadySinceMillis;
        SubmissionPart part = occurrence.job.part;
        if (part != null) {
            view.applyPart(part);
        }
        return view;
    }

    /**
     * Keeps a view of a task as its record.
     *
     * @param view a view of a task that has no record
     * @return the view
     */
    TaskRecord keep(TaskRecord view) {
        records.add(view);
        occurrence.onRecordsChanged(this, true);
        return view;
    }

    /** Removes the records of tasks that are done and have no runs, and keeps a bit of each. */
    void releaseEnded() {
        records.releaseEnded();
        occurrence.onRecordsChanged(this, records.recordCount() > 0);
    }

    /**
     * Returns all tasks, which have records from now on.
     *
     * @return the records by index
     */
    List<TaskRecord> allTasks() {
        List<TaskRecord> tasks = new ArrayList<>(count());
        for (int index = 0; index < count(); index++) {
            tasks.add(task(index));
        }
        return tasks;
    }

    /**
     * Returns the number of tasks without a record that wait. A task that has left the cell or came
     * to it has a record, as has one that previous owners may still run.
     *
     * @return the number of those that have not begun and have their home in the cell
     */
    int freshWaitingCount() {
        SubmissionPart part = occurrence.job.part;
        return part == null || part.first() ? records.freshCount() : 0;
    }

    /**
     * Returns the number of tasks that wait for a worker.
     *
     * @param nowMillis the current time, in milliseconds
     * @return the number, with and without records
     */
    int waitingCount(long nowMillis) {
        long recorded = records.stream().filter(task -> task.isWaiting(nowMillis)).count();
        return (int) recorded + freshWaitingCount();
    }

    /**
     * Returns the first task that waits for a worker, to look at.
     *
     * @param nowMillis the current time, in milliseconds
     * @return a view of the task, or null if none waits
     */
    @Nullable TaskRecord firstWaiting(long nowMillis) {
        int fresh = freshWaitingCount() == 0 ? count() : records.nextFresh(0);
        for (TaskRecord task : records) {
            if (task.id.index() > fresh) {
                break;
            }
            if (task.isWaiting(nowMillis)) {
                return task;
            }
        }
        return fresh == count() ? null : view(fresh);
    }

    /**
     * Returns the name of the step.
     *
     * @return the identifiers of the submission, the occurrence and the step, separated by dots
     */
    String name() {
        return occurrence.job.id() + '.' + occurrence.number + '.' + number;
    }

    /**
     * Returns whether every task is done.
     *
     * @return whether all tasks are done
     */
    boolean isDone() {
        return doneCount == count();
    }

    /**
     * Returns whether the earlier steps on which this one depends are done.
     *
     * @return whether the step may start
     */
    boolean areDependenciesDone() {
        if (readyElsewhere) {
            return true;
        }
        for (int earlier : spec.after()) {
            if (!occurrence.steps.get(earlier).isDone()) {
                return false;
            }
        }
        return true;
    }

    /** Gives the members of a gang that is not done the checkpoint of one of them. */
    void alignGang() {
        if (!spec.gang() || isDone()) {
            return;
        }
        String checkpoint =
                records.stream()
                        .map(task -> task.checkpoint)
                        .filter(value -> !value.isEmpty())
                        .findFirst()
                        .orElse("");
        if (!checkpoint.isEmpty()) {
            allTasks().forEach(task -> task.checkpoint = checkpoint);
        }
    }

    /**
     * Marks a task as done. Does nothing if it is done already.
     *
     * @param task a task of this step
     */
    void markDone(TaskRecord task) {
        if (!task.done) {
            task.done = true;
            doneCount++;
            occurrence.onTaskDone(this);
        }
    }

    /**
     * Marks a task as done, which gets no record for that. Does nothing if it is done already.
     *
     * @param index the number of the task in the step, from 0
     */
    void markDone(int index) {
        TaskRecord present = records.find(index);
        if (present != null) {
            markDone(present);
        } else if (!records.hasEnded(index)) {
            records.end(index);
            doneCount++;
            occurrence.onTaskDone(this);
        }
    }
}
