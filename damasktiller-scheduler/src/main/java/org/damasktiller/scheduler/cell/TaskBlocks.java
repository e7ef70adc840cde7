package org.damasktiller.scheduler.cell;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.damasktiller.scheduler.model.StepSpec;
import org.damasktiller.scheduler.model.Submission;
import org.damasktiller.scheduler.model.TaskId;
import org.jspecify.annotations.Nullable;

/**
 * Divides the tasks of a large submission into blocks of equal size, over all steps and
 * occurrences. The progress of each block is stored under a key of its own.
 */
final class TaskBlocks {

    /** The number of tasks of a block; a submission that has no more of them is not divided. */
    static final int TASKS_PER_BLOCK = 128;

    /** The number of the first task of each step in its occurrence, from 0. */
    private final long[] firstNumbers;

    /** The number of tasks of an occurrence. */
    private final long tasksPerOccurrence;

    /**
     * Numbers the tasks of a submission.
     *
     * @param steps the steps
     */
    private TaskBlocks(List<StepSpec> steps) {
        firstNumbers = new long[steps.size()];
        long count = 0;
        for (int step = 0; step < firstNumbers.length; step++) {
            firstNumbers[step] = count;
            count += steps.get(step).count();
        }
        tasksPerOccurrence = count;
    }

    /**
     * Divides a submission if it is large.
     *
     * @param submission the submission
     * @return its blocks, or null if all of its progress is a single value
     */
    static @Nullable TaskBlocks of(Submission submission) {
        TaskBlocks blocks = new TaskBlocks(submission.steps());
        long occurrences = submission.scheduled() ? submission.occurrences() : 1;
        return blocks.tasksPerOccurrence * occurrences > TASKS_PER_BLOCK ? blocks : null;
    }

    /**
     * Returns the block of a task.
     *
     * @param id the identifier of the task
     * @return the number of the block, from 0
     */
    int blockOf(TaskId id) {
        return (int) (numberOf(id) / TASKS_PER_BLOCK);
    }

    /**
     * Returns the blocks of tasks.
     *
     * @param tasks the tasks
     * @return the numbers of the blocks, from 0, in rising order
     */
    Set<Integer> blocksOf(Collection<TaskRecord> tasks) {
        Set<Integer> blocks = new TreeSet<>();
        tasks.forEach(task -> blocks.add(blockOf(task.id)));
        return blocks;
    }

    /**
     * Returns the position of a task in its block.
     *
     * @param id the identifier of the task
     * @return the position, from 0
     */
    int positionOf(TaskId id) {
        return (int) (numberOf(id) % TASKS_PER_BLOCK);
    }

    /**
     * Returns the blocks of all tasks of a step.
     *
     * @param step the step
     * @return the numbers of the blocks, from 0, in rising order
     */
    Set<Integer> blocksOf(StepRecord step) {
        Set<Integer> blocks = new TreeSet<>();
        if (step.count() > 0) {
            int last = blockOf(step.idOf(step.count() - 1));
            for (int block = blockOf(step.idOf(0)); block <= last; block++) {
                blocks.add(block);
            }
        }
        return blocks;
    }

    /**
     * Returns the tasks of a block.
     *
     * @param job the job of the submission
     * @param block the number of the block, from 0
     * @return the places of its tasks in order, without those of occurrences that have not begun or
     *     were released
     */
    List<TaskPlace> placesOf(Job job, int block) {
        List<TaskPlace> places = new ArrayList<>(TASKS_PER_BLOCK);
        long first = (long) block * TASKS_PER_BLOCK;
        for (long number = first; number < first + TASKS_PER_BLOCK; number++) {
            OccurrenceRecord occurrence = job.occurrences.get((int) (number / tasksPerOccurrence));
            if (occurrence != null) {
                places.add(placeOf(occurrence, number % tasksPerOccurrence));
            }
        }
        return places;
    }

    /**
     * Returns the tasks of a block whose occurrences are done.
     *
     * @param job the job of the submission
     * @param block the number of the block, from 0
     * @return a bit for each of them, by its position in the block
     */
    BitSet endedPositionsOf(Job job, int block) {
        BitSet positions = new BitSet();
        long first = (long) block * TASKS_PER_BLOCK;
        for (int position = 0; position < TASKS_PER_BLOCK; position++) {
            int occurrence = (int) ((first + position) / tasksPerOccurrence);
            positions.set(position, job.endedOccurrences.get(occurrence));
        }
        return positions;
    }

    /**
     * Marks tasks of a block as done. An occurrence of which the block has all tasks does not begin
     * for that.
     *
     * @param job the job of the submission, which was just read from the store
     * @param block the number of the block, from 0
     * @param done a bit for each task that is done, by its position in the block
     */
    void markDone(Job job, int block, BitSet done) {
        long first = (long) block * TASKS_PER_BLOCK;
        int position = done.nextSetBit(0);
        while (position >= 0) {
            long end = position + tasksPerOccurrence;
            boolean whole =
                    (first + position) % tasksPerOccurrence == 0
                            && end <= TASKS_PER_BLOCK
                            && done.nextClearBit(position) >= end;
            TaskPlace place = whole ? null : placeOf(job, block, position);
            if (whole) {
                job.markDone((int) ((first + position) / tasksPerOccurrence));
            } else if (place != null) {
                place.step().markDone(place.index());
            }
            position = done.nextSetBit(whole ? (int) end : position + 1);
        }
    }

    /**
     * Returns the place of a task by its position in a block.
     *
     * @param job the job of the submission
     * @param block the number of the block, from 0
     * @param position the position in the block, from 0
     * @return the place of the task, whose occurrence has begun from now on, or null if there is
     *     none
     */
    @Nullable TaskPlace placeOf(Job job, int block, int position) {
        long number = (long) block * TASKS_PER_BLOCK + position;
        Submission submission = job.accepted.submission();
        long occurrences = submission.scheduled() ? submission.occurrences() : 1;
        long occurrence = number / tasksPerOccurrence;
        return occurrence < occurrences
                ? placeOf(job.beginOccurrence((int) occurrence), number % tasksPerOccurrence)
                : null;
    }

    /**
     * Returns the place of a task of an occurrence.
     *
     * @param occurrence the occurrence
     * @param number the number of the task in the occurrence, from 0
     * @return the place of the task
     */
    private TaskPlace placeOf(OccurrenceRecord occurrence, long number) {
        int step = 0;
        int end = firstNumbers.length;
        while (end - step > 1) {
            int middle = (step + end) >>> 1;
            if (firstNumbers[middle] > number) {
                end = middle;
            } else {
                step = middle;
            }
        }
        return new TaskPlace(occurrence.steps.get(step), (int) (number - firstNumbers[step]));
    }

    /**
     * Returns the number of a task in its submission.
     *
     * @param id the identifier of the task
     * @return the number, from 0
     */
    private long numberOf(TaskId id) {
        return id.occurrence() * tasksPerOccurrence + firstNumbers[id.step()] + id.index();
    }
}
