package org.damasktiller.scheduler.placement;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.List;
import org.damasktiller.scheduler.model.Resources;
import org.damasktiller.scheduler.model.StepSpec;

/**
 * Workers of a cell that have the same free room and the same labels.
 *
 * @param free the free room of each, rounded down
 * @param labels the labels of each
 * @param workers the number of workers
 */
@JsonInclude(JsonInclude.Include.NON_DEFAULT)
public record WorkerRoom(Resources free, List<String> labels, int workers) {

    /** Copies the labels, which a stored record leaves out if there are none. */
    @SuppressWarnings("ConstantConditions")
    public WorkerRoom {
        free = free == null ? Resources.NONE : free;
        labels = labels == null ? List.of() : List.copyOf(labels);
    }

    /**
     * Returns how many tasks of a step the workers can take.
     *
     * @param spec the step
     * @return the number of tasks, within the limit of tasks per worker
     */
    public int slots(StepSpec spec) {
        return slots(spec, spec.reserved(), 0);
    }

    /**
     * Returns how many tasks of a step the workers can take if each, also a filler, gets the
     * processors that it needs.
     *
     * @param spec the step
     * @return the number of tasks, within the limit of tasks per worker
     */
    int idleSlots(StepSpec spec) {
        return slots(spec, spec.need(), 0);
    }

    /**
     * Returns how many more tasks of a step the workers can take.
     *
     * @param spec the step
     * @param taken what each of them takes
     * @param present the number of tasks of the step that run on each worker already
     * @return the number of tasks, within the limit of tasks per worker
     */
    private int slots(StepSpec spec, Resources taken, int present) {
        if (!spec.requiredLabel().isEmpty() && !labels.contains(spec.requiredLabel())) {
            return 0;
        }
        int limit = spec.maximumPerWorker() > 0 ? spec.maximumPerWorker() : spec.count();
        limit -= present;
        Resources left = free;
        int tasks = 0;
        while (tasks < limit && left.covers(taken)) {
            left = left.minus(taken);
            tasks++;
        }
        return tasks * workers;
    }

    /**
     * Returns how many slots tasks of a step take that run on the workers already, since the limit
     * of tasks per worker counts them. Tasks that have filled their workers take none.
     *
     * @param spec the step
     * @param present the number of tasks of the step that run on each worker
     * @return the number of slots that can't take another task
     */
    public int slotsTaken(StepSpec spec, int present) {
        return slots(spec) - slots(spec, spec.reserved(), present);
    }
}
