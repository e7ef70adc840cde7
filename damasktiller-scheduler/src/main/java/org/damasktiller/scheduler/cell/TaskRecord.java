package org.damasktiller.scheduler.cell;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.damasktiller.scheduler.crash.CrashHistory;
import org.damasktiller.scheduler.crash.RecordedStart;
import org.damasktiller.scheduler.model.MovedTask;
import org.damasktiller.scheduler.model.SubmissionPart;
import org.damasktiller.scheduler.model.TaskId;
import org.jspecify.annotations.Nullable;

/**
 * A task of a step, its progress and its runs. Only a task that differs from what the submission
 * declares has a record that is kept ({@link TaskTable}).
 */
public final class TaskRecord {

    /** The identifier of the task. */
    final TaskId id;

    /** The step that the task belongs to. */
    final StepRecord step;

    /** The runs that are or may be active. */
    final List<RunRecord> runs = new ArrayList<>(1);

    /**
     * The identifiers of the workers on which a run of the task failed or was too slow, or that did
     * not understand its start.
     */
    final Set<String> avoidedWorkerIds = new HashSet<>(2);

    /** Whether the task is done. */
    boolean done;

    /**
     * The numbers of the failed runs, empty for a long-running task, which may fail any number of
     * times. It is a set because workers may report an end more than once and in any order.
     */
    final Set<Integer> failedRunNumbers = new TreeSet<>();

    /** Whether a worker has ever confirmed a run; recorded for long-running tasks only. */
    boolean everRan;

    /** The highest number of a run whose end is recorded, 0 for none. */
    int highestEndedRunNumber;

    /** The highest number of a run that was started or reported, 0 for none. */
    int highestRunNumber;

    /** Whether the task has its home in another cell, whose owner starts it. */
    boolean away;

    /** Whether the task is about to move to another cell and must not start meanwhile. */
    boolean moving;

    /** Whether the task came from another cell. */
    boolean arrived;

    /** The highest run number that owners of former homes may have used, 0 in the first home. */
    int runNumberOffset;

    /** The crashes of workers under runs of the task. */
    CrashHistory crashes = CrashHistory.NONE;

    /** The start whose outcome is not known, if it is recorded; null otherwise. */
    @Nullable RecordedStart recordedStart;

    /** The version of the job with that record, or 0 if a previous owner has recorded it. */
    long recordedStartVersion;

    /** When a crash was last counted against the task, in milliseconds, or 0 for never. */
    long crashedAtMillis;

    /** The checkpoint from which the next run resumes, empty for none. */
    String checkpoint = "";

    /** The earliest time of the next start, in milliseconds. */
    long earliestStartMillis;

    /** The number of runs that were stopped to continue on another worker. */
    int moveCount;

    /** When the task was first found ready to start, in milliseconds, or 0 if it was not yet. */
    long readySinceMillis;

    /**
     * Creates a task that has not run.
     *
     * @param id the identifier of the task
     * @param step the step that the task belongs to
     */
    TaskRecord(TaskId id, StepRecord step) {
        this.id = id;
        this.step = step;
    }

    /**
     * Returns whether the task differs from a fresh one by more than that it waits.
     *
     * @return whether a run of it was started, reported or stored, or it came from another cell
     */
    boolean hasBegun() {
        return highestRunNumber > 0 || arrived || ProgressRecord.hasProgress(this);
    }

    /**
     * Returns whether the owner of the cell has to see to the task.
     *
     * @return whether it is not done and has its home in the cell
     */
    boolean isOwed() {
        return !done && !away;
    }

    /**
     * Returns whether the task waits for a worker.
     *
     * @param nowMillis the current time, in milliseconds
     * @return whether the task is not done, has no run, is at home here and may start
     */
    boolean isWaiting(long nowMillis) {
        return !done && !away && !moving && runs.isEmpty() && nowMillis >= earliestStartMillis;
    }

    /**
     * Returns what the next home of the task has to know of it.
     *
     * @param term the term of the owner of the present home
     * @return the record of the task
     */
    MovedTask toMovedTask(CellTerm term) {
        return new MovedTask(
                id.occurrence(),
                id.step(),
                id.index(),
                Math.max(highestRunNumber, runNumberOffset + term.runNumberBase()),
                everRan,
                crashes.crashes(),
                crashes.bystanderCrashes(),
                crashes.unknownOutcomes(),
                done,
                List.copyOf(failedRunNumbers),
                done ? "" : checkpoint);
    }

    /**
     * Takes over where the task has its home.
     *
     * @param part the tasks of the submission that have their home in this cell
     */
    void applyPart(SubmissionPart part) {
        away = !part.holds(id);
        MovedTask arrival = part.arrival(id);
        if (arrival != null && (!arrived || arrival.run() != runNumberOffset)) {
            runNumberOffset = arrival.run();
            everRan |= arrival.ran();
            crashes =
                    new CrashHistory(
                            arrival.crashes(),
                            arrival.bystanderCrashes(),
                            arrival.unknownOutcomes());
            recordedStart = null;
            checkpoint = arrival.checkpoint();
            readySinceMillis = 0;
            step.readyElsewhere = true;
            failedRunNumbers.addAll(arrival.failedRuns());
            if (arrival.done()) {
                step.markDone(this);
            }
            if (arrival.done() || !arrival.failedRuns().isEmpty()) {
                step.occurrence.job.onRunFound();
            }
        }
        arrived = arrival != null;
    }
}
