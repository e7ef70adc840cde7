package org.damasktiller.scheduler.cell;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.damasktiller.scheduler.placement.DividedStep;
import org.damasktiller.scheduler.placement.WorkerRoom;

/**
 * Sums up what the tasks of steps that several cells share take of the free room of this cell, so
 * that the owners of the other cells count each of them once.
 */
final class DividedSteps {

    /** The most steps that are published, which bounds the record. */
    private static final int MAX_STEPS = 64;

    /** The shared state of the cell's owner. */
    private final CellContext context;

    /**
     * Creates a summary of the cell's submissions.
     *
     * @param context the shared state of the cell's owner
     */
    DividedSteps(CellContext context) {
        this.context = context;
    }

    /**
     * Returns what the tasks of such steps take.
     *
     * @param rooms the free room of each worker that may get long-running tasks now
     * @return one entry for each step
     */
    List<DividedStep> list(Map<WorkerRecord, WorkerRoom> rooms) {
        List<DividedStep> divided = new ArrayList<>();
        for (Job job : context.jobs.values()) {
            if (job.part == null || job.state.isFinal()) {
                continue;
            }
            for (OccurrenceRecord occurrence : job.occurrences.values()) {
                for (StepRecord step : occurrence.steps) {
                    if (step.spec.lasting()
                            && step.spec.maximumPerWorker() > 0
                            && divided.size() < MAX_STEPS) {
                        divided.add(sumUp(step, rooms));
                    }
                }
            }
        }
        return divided;
    }

    /**
     * Sums up what the tasks of a step take: a slot for each that waits, and for those that run the
     * slots that their workers would have without them.
     *
     * @param step the step
     * @param rooms the free room of each worker that may get long-running tasks now
     * @return the sum
     */
    private static DividedStep sumUp(StepRecord step, Map<WorkerRecord, WorkerRoom> rooms) {
        int tasks = step.freshWaitingCount();
        int slots = tasks;
        Map<WorkerRecord, Integer> present = new HashMap<>();
        for (TaskRecord task : step.records) {
            tasks += task.away ? 0 : 1;
            slots += task.isOwed() && task.runs.isEmpty() ? 1 : 0;
            task.runs.forEach(run -> present.merge(run.worker, 1, Integer::sum));
        }
        for (Map.Entry<WorkerRecord, Integer> entry : present.entrySet()) {
            WorkerRoom room = rooms.get(entry.getKey());
            slots += room == null ? 0 : room.slotsTaken(step.spec, entry.getValue());
        }
        return new DividedStep(step.name(), tasks, slots);
    }
}
