package org.damasktiller.scheduler.cell;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.damasktiller.scheduler.model.StepSpec;
import org.damasktiller.scheduler.model.TaskId;

/** A step of an occurrence. */
public final class StepRecord {

    /** What the submission says of the step. */
    final StepSpec spec;

    /** The number of the step. */
    final int number;

    /** The occurrence. */
    final OccurrenceRecord occurrence;

    /** The tasks. */
    final List<TaskRecord> tasks = new ArrayList<>();

    /** The tickets of the advice service, by worker. */
    final Map<String, AdviceTicket> tickets = new HashMap<>();

    /** The workers that the advice service does not allow for the step, which does not change. */
    final Set<String> unadvised = new HashSet<>();

    /** How many tasks are done. */
    int doneCount;

    /**
     * Creates a record of a step that has not begun.
     *
     * @param spec what the submission says
     * @param number the number
     * @param occurrence the occurrence
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
     * Tells whether every task is done.
     *
     * @return whether they are
     */
    boolean done() {
        return doneCount == tasks.size();
    }

    /**
     * Tells whether the earlier steps that this one needs are done.
     *
     * @return whether they are
     */
    boolean unblocked() {
        for (int earlier : spec.after()) {
            if (!occurrence.steps.get(earlier).done()) {
                return false;
            }
        }
        return true;
    }

    /**
     * Marks a task as done.
     *
     * @param task the task
     */
    void markDone(TaskRecord task) {
        if (!task.done) {
            task.done = true;
            doneCount++;
        }
    }
}
