package org.damasktiller.scheduler.cell;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.damasktiller.scheduler.model.TaskId;

/** A task of a step and what is known of its runs. */
public final class TaskRecord {

    /** The name. */
    final TaskId id;

    /** The step of the occurrence that it belongs to. */
    final StepRecord step;

    /** The runs that are or may be active. */
    final List<RunRecord> runs = new ArrayList<>(1);

    /** The workers at which a run of the task failed or got on too slowly. */
    final Set<String> failedAt = new HashSet<>(2);

    /** Whether the task is done. */
    boolean done;

    /** The runs that have failed; their ends may be listed more than once and in any order. */
    final Set<Integer> failedRuns = new TreeSet<>();

    /** Whether a run was ever confirmed; recorded for lasting tasks only. */
    boolean everRan;

    /** The highest run whose end is recorded. */
    int endedRun;

    /** The highest run ever ordered or seen. */
    int lastRun;

    /** The saved progress, empty for none. */
    String checkpoint = "";

    /** Before when the task is not started again, in milliseconds. */
    long notBeforeMillis;

    /** How often a run was stopped to go on elsewhere. */
    int moves;

    /** When the task became ready to start, in milliseconds, or zero. */
    long readySinceMillis;

    /**
     * Creates a record of a task that has not run.
     *
     * @param id the name
     * @param step the step
     */
    TaskRecord(TaskId id, StepRecord step) {
        this.id = id;
        this.step = step;
    }

    /**
     * Tells whether the task waits for a worker.
     *
     * @param nowMillis the time, in milliseconds
     * @return whether it does
     */
    boolean waiting(long nowMillis) {
        return !done && runs.isEmpty() && nowMillis >= notBeforeMillis;
    }
}
