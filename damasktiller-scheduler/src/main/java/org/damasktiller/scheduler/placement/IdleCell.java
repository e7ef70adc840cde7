package org.damasktiller.scheduler.placement;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.damasktiller.scheduler.model.StepSpec;
import org.jspecify.annotations.Nullable;

/**
 * Chooses the cell to which a submission moves that waits in vain.
 *
 * <p>Load pattern: fillers and short tasks of a cell that long-running tasks fill, while other
 * cells have room.
 */
public final class IdleCell {

    /** Prevents instantiation. */
    private IdleCell() {}

    /**
     * Chooses the cell whose idle workers can take the most tasks of a step beside each other. A
     * cell has to take all members of a gang, which start at once or not at all.
     *
     * @param spec the step that waits
     * @param rooms the free room of workers of which less than half is in use, by the name of the
     *     cell
     * @return the name of the cell, the first one of several, or null if none has room
     */
    public static @Nullable String choose(StepSpec spec, Map<String, List<WorkerRoom>> rooms) {
        String best = null;
        int bestSlots = spec.gang() ? spec.count() - 1 : 0;
        for (Map.Entry<String, List<WorkerRoom>> cell : new TreeMap<>(rooms).entrySet()) {
            int slots = cell.getValue().stream().mapToInt(room -> room.idleSlots(spec)).sum();
            if (slots > bestSlots) {
                bestSlots = slots;
                best = cell.getKey();
            }
        }
        return best;
    }
}
