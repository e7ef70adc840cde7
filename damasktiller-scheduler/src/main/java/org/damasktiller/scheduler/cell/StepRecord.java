package org.damasktiller.scheduler.cell;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.damasktiller.scheduler.model.StepSpec;
import org.damasktiller.scheduler.model.TaskId;
import org.damasktiller.scheduler.order.Lateness;

/** The tasks and the progress of one step of an occurrence. */
public final class StepRecord {

    /** The step as the submission declares it. */
    final StepSpec spec;

    /** The number of the step in its submission, from 0. */
    final int number;

    /** The occurrence that the step belongs to. */
    final OccurrenceRecord occurrence;

    /** The tasks, by index. */
    final List<TaskRecord> tasks = new ArrayList<>();

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
        String id = occurrence.job.id();
        for (int index = 0; index < spec.count(); index++) {
            tasks.add(new TaskRecord(new TaskId(id, occurrence.number, number, index), this));
        }
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
        return doneCount == tasks.size();
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

    /**
     * Marks a task as done. Does nothing if it is done already.
     *
     * @param task a task of this step
     */
    void markDone(TaskRecord task) {
        if (!task.done) {
            task.done = true;
            doneCount++;
        }
    }
}
