package org.damasktiller.decision.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.damasktiller.identity.WorkerId;
import org.damasktiller.resource.Resources;

/** Makes room on a worker for urgent work and growing services by throttling batch tasks. */
final class RoomMaker {

    /** The slowest speed to which a task is throttled for room, in percent. */
    private static final int SLOWEST_PERCENT = 25;

    /** The running tasks. */
    private final TaskTable tasks;

    /**
     * Creates a part.
     *
     * @param tasks the running tasks
     */
    RoomMaker(TaskTable tasks) {
        this.tasks = tasks;
    }

    /**
     * Tells whether enough processors can be freed, and enough memory is free.
     *
     * @param worker the worker
     * @param size what is needed
     * @return whether room can be made
     */
    boolean canFree(WorkerId worker, Resources size) {
        Resources free = tasks.state(worker).free();
        boolean memory = size.memoryMegabytes() <= free.memoryMegabytes();
        boolean accelerators = size.accelerators() <= free.accelerators();
        long processors = free.milliProcessors();
        for (RunningTask task : tasks.on(worker)) {
            processors += shrinkable(task);
        }
        return memory && accelerators && processors >= size.milliProcessors();
    }

    /**
     * Throttles the largest batch tasks until the processors asked for are free.
     *
     * @param worker the worker
     * @param milliProcessors the processors that have to be free, in thousandths
     * @param nowMillis the time, in milliseconds
     * @return what to tell the worker
     */
    List<DispatchAction> free(WorkerId worker, long milliProcessors, long nowMillis) {
        List<RunningTask> batch = new ArrayList<>(tasks.on(worker));
        batch.sort(Comparator.comparingLong(RoomMaker::shrinkable).reversed());
        List<DispatchAction> actions = new ArrayList<>();
        for (RunningTask task : batch) {
            long missing = milliProcessors - tasks.state(worker).free().milliProcessors();
            if (missing <= 0 || shrinkable(task) == 0) {
                break;
            }
            long left = Math.max(0, task.reserved.milliProcessors() - missing);
            long percent = left * RunningTask.FULL_SPEED / task.full.milliProcessors();
            task.roomPercent = (int) Math.max(SLOWEST_PERCENT, percent);
            Resources size = task.at(task.speedPercent());
            if (tasks.resize(task, size, nowMillis)) {
                actions.add(new ResizeTask(task.job.id(), worker, size));
            }
        }
        return actions;
    }

    /**
     * Gives a throttled task its room back as far as there is room.
     *
     * @param task the task
     * @param nowMillis the time, in milliseconds
     * @return what to tell the worker, often nothing
     */
    List<DispatchAction> restore(RunningTask task, long nowMillis) {
        if (task.roomPercent == RunningTask.FULL_SPEED) {
            return List.of();
        }
        int before = task.roomPercent;
        task.roomPercent = RunningTask.FULL_SPEED;
        Resources size = task.at(task.speedPercent());
        if (!tasks.resize(task, size, nowMillis)) {
            task.roomPercent = before;
            return List.of();
        }
        return List.of(new ResizeTask(task.job.id(), task.worker, size));
    }

    /**
     * Returns the processors that throttling a task frees.
     *
     * @param task the task
     * @return thousandths of a processor
     */
    private static long shrinkable(RunningTask task) {
        if (task.service || task.full.milliProcessors() == 0) {
            return 0;
        }
        long slowest = task.at(Math.min(task.speedPercent(), SLOWEST_PERCENT)).milliProcessors();
        return Math.max(0, task.reserved.milliProcessors() - slowest);
    }
}
