package org.damasktiller.scheduler.cell;

import java.util.List;
import org.damasktiller.scheduler.placement.DividedStep;
import org.damasktiller.scheduler.placement.WorkerRoom;

/**
 * The free room of a cell's workers, summed up at one moment.
 *
 * @param workers one entry for each amount of room and set of labels
 * @param dividedSteps what tasks of steps that several cells share take of that room
 * @param idleWorkers the room of workers of which less than half is in use, beside their fillers
 */
record CellRoom(
        List<WorkerRoom> workers, List<DividedStep> dividedSteps, List<WorkerRoom> idleWorkers) {

    /** No room. */
    static final CellRoom NONE = new CellRoom(List.of(), List.of(), List.of());
}
