package org.damasktiller.scheduler.cell;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Iterator;
import java.util.List;
import java.util.NoSuchElementException;
import org.damasktiller.scheduler.model.StepSpec;

/**
 * One execution of all steps of a submission. A scheduled submission has one per due time; any
 * other submission has a single one.
 */
public final class OccurrenceRecord {

    /** The job that this is an occurrence of. */
    final Job job;

    /** The number of the occurrence, from 0. */
    final int number;

    /** The steps in the order of the submission. */
    final List<StepRecord> steps = new ArrayList<>();

    /** The numbers of the steps of which some task has a record. */
    private final BitSet recordedSteps = new BitSet();

    /** The number of steps that are not done. */
    private int openStepCount;

    /** The number of tasks that are done. */
    private long doneTaskCount;

    /**
     * Creates an occurrence in which no task has run.
     *
     * @param job the job that this is an occurrence of
     * @param number the number of the occurrence, from 0
     */
    OccurrenceRecord(Job job, int number) {
        this.job = job;
        this.number = number;
        List<StepSpec> specs = job.accepted.submission().steps();
        for (int step = 0; step < specs.size(); step++) {
            StepRecord record = new StepRecord(specs.get(step), step, this);
            steps.add(record);
            openStepCount += record.isDone() ? 0 : 1;
        }
    }

    /**
     * Takes note that a task is done.
     *
     * @param step its step
     */
    void onTaskDone(StepRecord step) {
        doneTaskCount++;
        if (step.isDone()) {
            openStepCount--;
        }
    }

    /**
     * Takes note of whether any task of a step has a record.
     *
     * @param step the step
     * @param recorded whether one has
     */
    void onRecordsChanged(StepRecord step, boolean recorded) {
        recordedSteps.set(step.number, recorded);
    }

    /**
     * Returns the steps of which some task has a record, which are few while most have not begun.
     * Records may be added and removed meanwhile.
     *
     * @return the steps in the order of their numbers
     */
    Iterable<StepRecord> stepsWithRecords() {
        return RecordedStepIterator::new;
    }

    /** Marks all tasks as done, which get no records for that. */
    void markDone() {
        for (StepRecord step : steps) {
            for (int index = 0; index < step.count(); index++) {
                step.markDone(index);
            }
        }
    }

    /**
     * Returns whether nothing of the occurrence has begun.
     *
     * @return whether no task is done or has been started
     */
    boolean isFresh() {
        for (StepRecord step : stepsWithRecords()) {
            if (step.records.stream().anyMatch(TaskRecord::hasBegun)) {
                return false;
            }
        }
        return doneTaskCount == 0;
    }

    /**
     * Returns whether every step is done.
     *
     * @return whether all steps are done
     */
    boolean isDone() {
        return openStepCount == 0;
    }

    /** Finds one step with records after the other. */
    private final class RecordedStepIterator implements Iterator<StepRecord> {

        /** The number of the next step to look at. */
        private int position;

        @Override
        public boolean hasNext() {
            return recordedSteps.nextSetBit(position) >= 0;
        }

        @Override
        public StepRecord next() {
            int number = recordedSteps.nextSetBit(position);
            if (number < 0) {
                throw new NoSuchElementException("no step with records is left");
            }
            position = number + 1;
            return steps.get(number);
        }
    }
}
