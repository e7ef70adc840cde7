package org.damasktiller.scheduler.cell;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.ArrayList;
import java.util.List;
import org.damasktiller.scheduler.crash.CrashHistory;
import org.damasktiller.scheduler.crash.RecordedStart;
import org.damasktiller.scheduler.model.SubmissionPart;
import org.damasktiller.scheduler.model.TaskId;
import org.jspecify.annotations.Nullable;

/**
 * The stored progress of an open submission, from which a successor restores its job.
 *
 * @param tasks the tasks that are done, have an ended run, are long-running tasks that have run, or
 *     may have crashed workers
 */
public record ProgressRecord(List<Entry> tasks) {

    /** Copies the entries. */
    public ProgressRecord {
        tasks = List.copyOf(tasks);
    }

    /**
     * Creates the record of a job's current progress.
     *
     * @param job the job
     * @param part the tasks that have their home in the cell
     * @return the progress of these tasks; tasks without progress are left out
     */
    static ProgressRecord of(Job job, SubmissionPart part) {
        List<Entry> entries = new ArrayList<>();
        for (OccurrenceRecord occurrence : job.occurrences.values()) {
            for (StepRecord step : occurrence.steps) {
                for (TaskRecord task : step.records) {
                    if (hasProgress(task) && part.holds(task.id)) {
                        entries.add(Entry.of(task));
                    }
                }
            }
        }
        return new ProgressRecord(entries);
    }

    /**
     * Returns whether a task has progress to store.
     *
     * @param task the task
     * @return whether it differs from a task that has not run
     */
    static boolean hasProgress(TaskRecord task) {
        return task.highestEndedRunNumber > 0
                || task.done
                || task.everRan
                || !task.checkpoint.isEmpty()
                || task.recordedStart != null
                || !task.crashes.equals(CrashHistory.NONE);
    }

    /**
     * Applies the stored progress to a job that was just read from the store. A job of which any
     * task has run is not queued any more. Entries of tasks that the submission does not have are
     * ignored.
     *
     * @param job the job
     */
    void restore(Job job) {
        tasks.forEach(entry -> entry.restore(job));
    }

    /**
     * Returns the record without checkpoints.
     *
     * @return the record, whose tasks begin again after a change of the owner
     */
    ProgressRecord withoutCheckpoints() {
        return new ProgressRecord(tasks.stream().map(Entry::withoutCheckpoint).toList());
    }

    /**
     * The stored progress of a task.
     *
     * @param occurrence the number of the occurrence, from 0
     * @param step the number of the step in the submission, from 0
     * @param index the number of the task in the step, from 0
     * @param done whether the task is done
     * @param failedRuns the numbers of the runs that failed; always empty for long-running tasks,
     *     which have no limit of attempts
     * @param run the highest number of a run whose end is recorded, 0 if there is none
     * @param ran whether a run of a long-running task was ever confirmed; false for other tasks
     * @param checkpoint the last checkpoint, empty if there is none or the task is done
     * @param crashes the number of crashes of workers that the task may have caused
     * @param bystanderCrashes the number of crashes of workers under runs that had been active for
     *     some time
     * @param unknownOutcomes the number of runs that may have crashed their worker
     * @param recordedStart a start whose outcome is not known, or null
     */
    @JsonInclude(JsonInclude.Include.NON_DEFAULT)
    public record Entry(
            int occurrence,
            int step,
            int index,
            boolean done,
            List<Integer> failedRuns,
            int run,
            boolean ran,
            String checkpoint,
            int crashes,
            int bystanderCrashes,
            int unknownOutcomes,
            @Nullable RecordedStart recordedStart) {

        /** Replaces components that the stored record leaves out by their defaults. */
        @SuppressWarnings("ConstantConditions")
        public Entry {
            failedRuns = failedRuns == null ? List.of() : List.copyOf(failedRuns);
            checkpoint = checkpoint == null ? "" : checkpoint;
        }

        /**
         * Creates the entry of a task's current progress.
         *
         * @param task the task
         * @return the entry
         */
        static Entry of(TaskRecord task) {
            return new Entry(
                    task.id.occurrence(),
                    task.id.step(),
                    task.id.index(),
                    task.done,
                    List.copyOf(task.failedRunNumbers),
                    task.highestEndedRunNumber,
                    task.everRan,
                    task.done ? "" : task.checkpoint,
                    task.crashes.crashes(),
                    task.crashes.bystanderCrashes(),
                    task.crashes.unknownOutcomes(),
                    task.recordedStart);
        }

        /**
         * Returns the entry without its checkpoint.
         *
         * @return the entry of a task that begins again
         */
        Entry withoutCheckpoint() {
            return new Entry(
                    occurrence,
                    step,
                    index,
                    done,
                    failedRuns,
                    run,
                    ran,
                    "",
                    crashes,
                    bystanderCrashes,
                    unknownOutcomes,
                    recordedStart);
        }

        /**
         * Applies the entry to its task, unless the submission has no such task.
         *
         * @param job the job of the submission
         */
        void restore(Job job) {
            TaskRecord task = job.findTask(new TaskId(job.id(), occurrence, step, index));
            if (task == null) {
                return;
            }
            if (hasRun()) {
                job.onRunFound();
            }
            task.failedRunNumbers.addAll(failedRuns);
            task.everRan |= ran;
            task.highestEndedRunNumber = run;
            task.highestRunNumber = run;
            task.checkpoint = checkpoint;
            task.crashes = crashHistory();
            task.recordedStart = recordedStart;
            if (done) {
                task.step.markDone(task);
            }
        }

        /**
         * Returns whether a run of the task has certainly been active.
         *
         * @return whether the record shows an end, a confirmed run, a checkpoint or a crash
         */
        boolean hasRun() {
            return done
                    || run > 0
                    || ran
                    || !checkpoint.isEmpty()
                    || crashes > 0
                    || bystanderCrashes > 0;
        }

        /**
         * Returns the crashes of workers under runs of the task.
         *
         * @return the crashes
         */
        CrashHistory crashHistory() {
            return new CrashHistory(crashes, bystanderCrashes, unknownOutcomes);
        }
    }
}
