package org.damasktiller.authority.cell;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.damasktiller.authority.ownership.Ownership;
import org.damasktiller.vm.VmState;
import org.damasktiller.worker.AcknowledgeCommand;
import org.damasktiller.worker.AttemptId;
import org.damasktiller.worker.FenceCommand;
import org.damasktiller.worker.Permit;
import org.damasktiller.worker.ProbeCommand;
import org.damasktiller.worker.RenewCommand;
import org.damasktiller.worker.StartCommand;
import org.damasktiller.worker.StopCommand;
import org.damasktiller.worker.TaskStart;
import org.damasktiller.worker.ThrottleCommand;
import org.damasktiller.worker.WorkerCommand;
import org.damasktiller.worker.WorkerStamp;

/**
 * Chooses the next command to a worker. A permit carries the latest stamp, which was read before
 * the right to act is checked here.
 */
final class LaneCommands {

    /** The attempts that one command starts, stops or acknowledges at most. */
    private static final int MAXIMUM_ATTEMPTS = 32;

    /** The shortest time between two inventories, in milliseconds. */
    private static final long MINIMUM_INVENTORY_MILLIS = 50;

    /** The times. */
    private final CellSettings settings;

    /** The ownership that gives the right to act. */
    private final Ownership ownership;

    /** The order in which waiting jobs are started. */
    private final StartOrder order;

    /**
     * Creates the choice.
     *
     * @param settings the times
     * @param ownership the ownership that gives the right to act
     * @param order the order in which waiting jobs are started
     */
    LaneCommands(CellSettings settings, Ownership ownership, StartOrder order) {
        this.settings = settings;
        this.ownership = ownership;
        this.order = order;
    }

    /**
     * Chooses the next command.
     *
     * @param lane the worker
     * @param nowMillis the time, in milliseconds
     * @return the command, or empty if there is none to send now
     */
    Optional<WorkerCommand> next(WorkerLane lane, long nowMillis) {
        if (lane.callId != 0 || nowMillis < lane.retryMillis || lane.listed == VmState.GONE) {
            return Optional.empty();
        }
        WorkerStamp stamp = lane.stamp;
        if (stamp == null || lane.suspended) {
            return Optional.of(new ProbeCommand());
        }
        if (!ownership.mayAct(nowMillis)) {
            return Optional.empty();
        }
        Permit permit =
                new Permit(
                        ownership.generation(), stamp, settings.ownership().leaseOfTasksMillis());
        return lane.fenced ? work(lane, permit, nowMillis) : fence(lane, permit);
    }

    /**
     * Fences the worker, if the ownership was confirmed after the worker's process was heard of. A
     * process that has forgotten the fence of a successor is thus never fenced by its predecessor.
     *
     * @param lane the worker
     * @param permit the permit
     * @return the command, or empty until the ownership is confirmed
     */
    private Optional<WorkerCommand> fence(WorkerLane lane, Permit permit) {
        if (ownership.confirmedMillis() <= lane.learnedMillis) {
            ownership.confirmNow();
            return Optional.empty();
        }
        return Optional.of(new FenceCommand(permit));
    }

    /**
     * Chooses the next command to a fenced worker.
     *
     * @param lane the worker
     * @param permit the permit
     * @param nowMillis the time, in milliseconds
     * @return the command, or empty if there is none to send now
     */
    private Optional<WorkerCommand> work(WorkerLane lane, Permit permit, long nowMillis) {
        if (!lane.stops.isEmpty()) {
            return Optional.of(stop(lane, permit));
        }
        if (renewalDue(lane, nowMillis)) {
            return Optional.of(renew(lane, permit, nowMillis));
        }
        if (!lane.speeds.isEmpty()) {
            return Optional.of(throttle(lane, permit));
        }
        List<TaskStart> starts = starts(lane, permit, nowMillis);
        if (!starts.isEmpty()) {
            lane.grantedMillis = nowMillis;
            return Optional.of(new StartCommand(permit, starts));
        }
        return acknowledge(lane, permit);
    }

    /**
     * Makes the command that stops attempts of one sort, with or without checkpoints.
     *
     * @param lane the worker
     * @param permit the permit
     * @return the command
     */
    private static WorkerCommand stop(WorkerLane lane, Permit permit) {
        boolean checkpoint = lane.stops.values().iterator().next();
        List<AttemptId> attempts = new ArrayList<>();
        for (Map.Entry<AttemptId, Boolean> entry : lane.stops.entrySet()) {
            if (entry.getValue() == checkpoint && attempts.size() < MAXIMUM_ATTEMPTS) {
                attempts.add(entry.getKey());
            }
        }
        attempts.forEach(lane.stops::remove);
        return new StopCommand(permit, attempts, checkpoint);
    }

    /**
     * Makes the command that sets a speed.
     *
     * @param lane the worker
     * @param permit the permit
     * @return the command
     */
    private static WorkerCommand throttle(WorkerLane lane, Permit permit) {
        Map.Entry<AttemptId, Integer> first = lane.speeds.entrySet().iterator().next();
        lane.speeds.remove(first.getKey());
        return new ThrottleCommand(permit, first.getKey(), first.getValue());
    }

    /**
     * Tells whether the leases are to be renewed or the inventory is to be asked for.
     *
     * @param lane the worker
     * @param nowMillis the time, in milliseconds
     * @return whether it is due
     */
    private boolean renewalDue(WorkerLane lane, long nowMillis) {
        long sinceInventory = nowMillis - lane.inventoryMillis;
        boolean endExpected =
                nowMillis >= lane.expectedEndMillis && sinceInventory >= MINIMUM_INVENTORY_MILLIS;
        return endExpected || sinceInventory >= settings.renewMillis();
    }

    /**
     * Makes the command that renews what may run.
     *
     * @param lane the worker
     * @param permit the permit
     * @param nowMillis the time, in milliseconds
     * @return the command
     */
    private static WorkerCommand renew(WorkerLane lane, Permit permit, long nowMillis) {
        lane.grantedMillis = nowMillis;
        lane.inventoryMillis = nowMillis;
        return new RenewCommand(
                permit,
                lane.holding.values().stream().map(job -> job.record().attemptId()).toList());
    }

    /**
     * Reserves waiting jobs that fit, in order, and repeats the starts whose outcome is not known.
     *
     * @param lane the worker
     * @param permit the permit
     * @param nowMillis the time, in milliseconds
     * @return the attempts to start
     */
    private List<TaskStart> starts(WorkerLane lane, Permit permit, long nowMillis) {
        List<TaskStart> starts = new ArrayList<>();
        for (Job job : lane.holding.values()) {
            if (job.startWanted() && starts.size() < MAXIMUM_ATTEMPTS) {
                starts.add(start(lane, job, permit));
            }
        }
        if (lane.listed != VmState.LIVE) {
            return starts;
        }
        List<Job> chosen = order.choose(lane, MAXIMUM_ATTEMPTS - starts.size(), nowMillis);
        for (Job job : chosen) {
            lane.hold(job);
            starts.add(start(lane, job, permit));
        }
        return starts;
    }

    /**
     * Makes the start of a job's present attempt.
     *
     * @param lane the worker
     * @param job the job
     * @param permit the permit
     * @return the start
     */
    private static TaskStart start(WorkerLane lane, Job job, Permit permit) {
        AttemptId attempt = job.record().attemptId();
        job.startSent(permit.expiryMillis());
        lane.startExpiries.put(attempt, permit.expiryMillis());
        return new TaskStart(attempt, job.record().submission().task(), job.record().checkpoint());
    }

    /**
     * Makes the command that acknowledges attempts whose starts have all expired, so that a late
     * start cannot run a forgotten attempt again.
     *
     * @param lane the worker
     * @param permit the permit
     * @return the command, or empty if there is nothing to acknowledge
     */
    private static Optional<WorkerCommand> acknowledge(WorkerLane lane, Permit permit) {
        List<AttemptId> attempts = new ArrayList<>();
        for (Map.Entry<AttemptId, Long> entry : lane.acknowledgements.entrySet()) {
            if (entry.getValue() <= permit.stamp().millis() && attempts.size() < MAXIMUM_ATTEMPTS) {
                attempts.add(entry.getKey());
            }
        }
        if (attempts.isEmpty()) {
            return Optional.empty();
        }
        attempts.forEach(lane.acknowledgements::remove);
        attempts.forEach(lane.startExpiries::remove);
        return Optional.of(new AcknowledgeCommand(permit, attempts));
    }
}
