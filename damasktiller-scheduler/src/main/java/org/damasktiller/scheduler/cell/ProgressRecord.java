package org.damasktiller.scheduler.cell;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.ArrayList;
import java.util.List;
import org.damasktiller.scheduler.model.TaskId;

/**
 * The stored progress of a submission.
 *
 * @param tasks the tasks of which an end is recorded
 */
public record ProgressRecord(List<Entry> tasks) {

    /** Copies the tasks. */
    public ProgressRecord {
        tasks = List.copyOf(tasks);
    }

    /**
     * Takes the progress of a job.
     *
     * @param job the job
     * @return its progress
     */
    static ProgressRecord of(Job job) {
        List<Entry> entries = new ArrayList<>();
        for (OccurrenceRecord occurrence : job.occurrences.values()) {
            for (StepRecord step : occurrence.steps) {
                for (TaskRecord task : step.tasks) {
                    if (task.highestEndedRunNumber > 0 || task.done || task.everRan) {
                        entries.add(Entry.of(task));
                    }
                }
            }
        }
        return new ProgressRecord(entries);
    }

    /**
     * Gives a job the stored progress.
     *
     * @param job the job
     */
    void restore(Job job) {
        for (Entry entry : tasks) {
            TaskId id = new TaskId(job.id(), entry.occurrence(), entry.step(), entry.index());
            TaskRecord task = job.findTask(id);
            if (task == null) {
                continue;
            }
            task.failedRunNumbers.addAll(entry.failedRuns());
            task.everRan = entry.ran();
            task.highestEndedRunNumber = entry.run();
            task.highestRunNumber = entry.run();
            task.checkpoint = entry.checkpoint();
            if (entry.done()) {
                task.step.markDone(task);
            }
        }
    }

    /**
     * The progress of a task.
     *
     * @param occurrence the number of the occurrence
     * @param step the number of the step
     * @param index the number of the task
     * @param done whether the task is done
     * @param failedRuns the runs that have failed, none for lasting tasks, which may fail forever
     * @param run the highest run whose end is recorded
     * @param ran whether a lasting task was ever at work
     * @param checkpoint the saved progress
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
            String checkpoint) {

        /** Replaces fields left out of a stored record by their defaults. */
        @SuppressWarnings("ConstantConditions")
        public Entry {
            failedRuns = failedRuns == null ? List.of() : List.copyOf(failedRuns);
            checkpoint = checkpoint == null ? "" : checkpoint;
        }

        /**
         * Takes the progress of a task.
         *
         * @param task the task
         * @return its progress
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
                    task.done ? "" : task.checkpoint);
        }
    }
}
