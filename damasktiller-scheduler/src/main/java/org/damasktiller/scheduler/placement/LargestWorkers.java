package org.damasktiller.scheduler.placement;

import java.util.ArrayList;
import java.util.List;
import org.damasktiller.scheduler.model.Resources;
import org.damasktiller.scheduler.model.StepSpec;

/**
 * Remembers the largest workers that have answered in a cell, to tell which steps can never run.
 *
 * <p>Load pattern: callers hand in tasks that no worker can hold, empty or not. Such a submission
 * is rejected at once instead of waiting until its caller gives up. A worker that is lost counts
 * on, since it may come back.
 */
public final class LargestWorkers {

    /** The result of {@link #firstStepTooLarge} if every step fits. */
    public static final int NONE = -1;

    /** The capacities that no other capacity covers. */
    private final List<Resources> largest = new ArrayList<>();

    /** Creates the memory of a cell without workers. */
    public LargestWorkers() {}

    /**
     * Takes note of a worker.
     *
     * @param capacity the capacity of the worker
     */
    public void add(Resources capacity) {
        if (largest.stream().noneMatch(known -> known.covers(capacity))) {
            largest.removeIf(capacity::covers);
            largest.add(capacity);
        }
    }

    /**
     * Returns the capacities that no other capacity covers.
     *
     * @return a copy, empty if no worker is known
     */
    public List<Resources> capacities() {
        return List.copyOf(largest);
    }

    /**
     * Finds a step of which not even a single task fits on an empty worker.
     *
     * @param steps the steps of a submission
     * @param capacities the largest workers; if empty, they are not known and every step fits
     * @return the number of the first such step, or {@link #NONE}
     */
    public static int firstStepTooLarge(List<StepSpec> steps, List<Resources> capacities) {
        if (capacities.isEmpty()) {
            return NONE;
        }
        for (int number = 0; number < steps.size(); number++) {
            Resources need = steps.get(number).reserved();
            if (capacities.stream().noneMatch(capacity -> capacity.covers(need))) {
                return number;
            }
        }
        return NONE;
    }
}
