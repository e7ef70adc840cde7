package org.damasktiller.decision.dispatch;

import java.util.ArrayList;
import java.util.List;
import org.damasktiller.decision.estimate.SizeEstimator;
import org.damasktiller.decision.health.FleetLimits;
import org.damasktiller.identity.KindName;
import org.damasktiller.resource.Resources;

/** Adapts the reservations of running batch tasks to what they are seen to use. */
final class SizeControl {

    /** A reservation above the need by this factor is lowered. */
    private static final double SLACK = 1.2;

    /** The running tasks. */
    private final TaskTable tasks;

    /** The estimates of sizes. */
    private final SizeEstimator sizes;

    /** The sizes of workers. */
    private final FleetLimits limits;

    /**
     * Creates a part.
     *
     * @param tasks the running tasks
     * @param sizes the estimates of sizes
     * @param limits the sizes of workers
     */
    SizeControl(TaskTable tasks, SizeEstimator sizes, FleetLimits limits) {
        this.tasks = tasks;
        this.sizes = sizes;
        this.limits = limits;
    }

    /**
     * Returns what to reserve for a new task.
     *
     * @param kind the kind
     * @param declared the declared size
     * @param nowMillis the time, in milliseconds
     * @return the size
     */
    Resources forNew(KindName kind, Resources declared, long nowMillis) {
        return sizes.estimate(kind, declared, limits.largest(), nowMillis);
    }

    /**
     * Learns from a usage report and adapts the reservation.
     *
     * @param task the task
     * @param report the report
     * @param nowMillis the time, in milliseconds
     * @return what to tell the worker, often nothing
     */
    List<DispatchAction> onUsage(RunningTask task, UsageReport report, long nowMillis) {
        KindName kind = task.job.kind();
        boolean throttled = task.speedPercent() < RunningTask.FULL_SPEED;
        boolean outdated = !report.reserved().equals(task.reserved);
        if (throttled || outdated) {
            return List.of();
        }
        sizes.observe(report.job(), kind, report.used(), report.reserved(), nowMillis);
        Resources wanted = sizes.wanted(report.job(), task.full);
        if (wanted == null) {
            return List.of();
        }
        Resources usual = sizes.estimate(kind, task.full, limits.largest(), nowMillis);
        boolean known = sizes.processorsKnown(report.job());
        Resources target =
                new Resources(
                        adapt(
                                task.full.milliProcessors(),
                                wanted.milliProcessors(),
                                known ? 0 : usual.milliProcessors()),
                        adapt(
                                task.full.memoryMegabytes(),
                                wanted.memoryMegabytes(),
                                usual.memoryMegabytes()),
                        task.full.accelerators());
        return target.equals(task.full) ? List.of() : change(task, target, nowMillis);
    }

    /**
     * Returns the new reservation of one resource.
     *
     * @param reserved what is reserved
     * @param wanted what the task was seen to need
     * @param usual what its kind usually needs
     * @return the new reservation, the same if the difference is small
     */
    private static long adapt(long reserved, long wanted, long usual) {
        if (wanted > reserved) {
            return wanted;
        }
        long enough = Math.max(wanted, usual);
        return reserved > SLACK * enough ? enough : reserved;
    }

    /**
     * Changes a reservation, within the room of the worker.
     *
     * @param task the task
     * @param target the reservation wanted
     * @param nowMillis the time, in milliseconds
     * @return what to tell the worker
     */
    private List<DispatchAction> change(RunningTask task, Resources target, long nowMillis) {
        Resources room = tasks.state(task.worker).free().plus(task.reserved);
        Resources size =
                new Resources(
                        Math.min(target.milliProcessors(), room.milliProcessors()),
                        Math.min(target.memoryMegabytes(), room.memoryMegabytes()),
                        target.accelerators());
        List<DispatchAction> actions = new ArrayList<>();
        if (!size.equals(task.full) && tasks.resize(task, size, nowMillis)) {
            task.full = size;
            actions.add(new ResizeTask(task.job.id(), task.worker, size));
        }
        return actions;
    }
}
