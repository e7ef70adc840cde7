package org.damasktiller.scheduler.lookahead;

import java.util.Comparator;
import java.util.List;
import org.damasktiller.scheduler.model.Resources;

/**
 * The room of a worker now, and the ends that will add to it.
 *
 * @param worker the identifier of the worker
 * @param free the resources that no run reserves
 * @param ends the expected ends, in the order of their times
 */
public record WorkerForecast(String worker, Resources free, List<ExpectedEnd> ends) {

    /** The time at which a task that never fits can start. */
    public static final long NEVER = Long.MAX_VALUE;

    /** Copies the ends, sorted by their times. */
    public WorkerForecast {
        ends = ends.stream().sorted(Comparator.comparingLong(ExpectedEnd::atMillis)).toList();
    }

    /**
     * Returns when the worker is expected to have room for a task.
     *
     * @param need the resources of the task
     * @param nowMillis the current time, in milliseconds
     * @return the time, not before now, in milliseconds, or {@link #NEVER}
     */
    public long startMillis(Resources need, long nowMillis) {
        Resources room = free;
        if (room.covers(need)) {
            return nowMillis;
        }
        for (ExpectedEnd end : ends) {
            room = room.plus(end.released());
            if (room.covers(need)) {
                return Math.max(nowMillis, end.atMillis());
            }
        }
        return NEVER;
    }

    /**
     * Returns the room that the worker is expected to have at a time.
     *
     * @param atMillis the time, in milliseconds
     * @return the free resources, if nothing starts there until then
     */
    public Resources roomAt(long atMillis) {
        Resources room = free;
        for (ExpectedEnd end : ends) {
            if (end.atMillis() <= atMillis) {
                room = room.plus(end.released());
            }
        }
        return room;
    }
}
