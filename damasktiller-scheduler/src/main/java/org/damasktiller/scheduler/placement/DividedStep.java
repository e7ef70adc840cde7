package org.damasktiller.scheduler.placement;

/**
 * What the tasks of a step with a limit of tasks per worker take of a cell's free room, for a step
 * that has tasks in several cells.
 *
 * @param step the name of the step
 * @param tasks the number of tasks of the step that have their home in the cell
 * @param slots the number of slots of the free room that these tasks take or may still take
 */
public record DividedStep(String step, int tasks, int slots) {

    /**
     * Returns how many slots of the room can't take another task of the step. Tasks that have come
     * since the room was summed up may take one slot each.
     *
     * @param tasksNow the number of tasks of the step that have their home in the cell now
     * @return the number of slots
     */
    public int slotsTaken(int tasksNow) {
        return slots + Math.max(0, tasksNow - tasks);
    }
}
