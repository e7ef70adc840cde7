package org.damasktiller.scheduler.placement;

import java.util.List;
import org.damasktiller.scheduler.model.StepSpec;
import org.jspecify.annotations.Nullable;

/**
 * The cell to which waiting tasks of a step move, and how many of them.
 *
 * <p>Load pattern: long-running steps that need more workers than their cell has, while other cells
 * have room.
 *
 * @param cell the name of the cell
 * @param tasks the most tasks that should move there
 */
public record MoveTarget(String cell, int tasks) {

    /**
     * The part of a cell's room that one move may use is one over this number, since others may
     * need the rest at the same time.
     */
    private static final int ROOM_DIVISOR = 2;

    /**
     * Chooses the cell that can take the most tasks of a step.
     *
     * @param spec the step
     * @param candidates the cells whose room is known
     * @return the cell, the first one of several, or null if none has room
     */
    public static @Nullable MoveTarget choose(StepSpec spec, List<Candidate> candidates) {
        MoveTarget best = null;
        int bestSlots = 0;
        for (Candidate candidate : candidates) {
            int slots = candidate.slots(spec);
            if (slots > bestSlots) {
                bestSlots = slots;
                best = new MoveTarget(candidate.cell(), (slots + 1) / ROOM_DIVISOR);
            }
        }
        return best;
    }

    /**
     * A cell whose room is known.
     *
     * @param cell the name of the cell
     * @param rooms the free room of its workers
     * @param slotsTaken the number of slots of the room that tasks of the step take or may still
     *     take, which counts only if the step has a limit of tasks per worker
     */
    public record Candidate(String cell, List<WorkerRoom> rooms, int slotsTaken) {

        /** Copies the rooms. */
        public Candidate {
            rooms = List.copyOf(rooms);
        }

        /**
         * Returns how many more tasks of a step the cell can take.
         *
         * @param spec the step
         * @return the number of tasks, not positive if there is no room
         */
        private int slots(StepSpec spec) {
            int slots = rooms.stream().mapToInt(room -> room.slots(spec)).sum();
            return spec.maximumPerWorker() > 0 ? slots - slotsTaken : slots;
        }
    }
}
