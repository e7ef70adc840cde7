package org.damasktiller.scheduler.cell;

import java.util.ArrayList;
import java.util.List;
import org.damasktiller.scheduler.model.StepSpec;

/** One pass over the steps of a submission. */
public final class OccurrenceRecord {

    /** The job. */
    final Job job;

    /** The number of the occurrence, from 0. */
    final int number;

    /** The steps. */
    final List<StepRecord> steps = new ArrayList<>();

    /**
     * Creates a record of an occurrence that has not begun.
     *
     * @param job the job
     * @param number the number
     */
    OccurrenceRecord(Job job, int number) {
        this.job = job;
        this.number = number;
        List<StepSpec> specs = job.accepted.submission().steps();
        for (int step = 0; step < specs.size(); step++) {
            steps.add(new StepRecord(specs.get(step), step, this));
        }
    }

    /**
     * Tells whether every step is done.
     *
     * @return whether they are
     */
    boolean done() {
        return steps.stream().allMatch(StepRecord::done);
    }
}
