package org.damasktiller.authority.cell;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.damasktiller.authority.ownership.Ownership;
import org.damasktiller.identity.WorkerId;
import org.damasktiller.worker.FenceCommand;
import org.damasktiller.worker.ProbeAnswer;
import org.damasktiller.worker.RefusalReason;
import org.damasktiller.worker.RefusedAnswer;
import org.damasktiller.worker.ReportAnswer;
import org.damasktiller.worker.ThrottleCommand;
import org.damasktiller.worker.WorkerAnswer;
import org.damasktiller.worker.WorkerCommand;

/**
 * Passes commands to the workers by way of the driver and takes the answers. Each worker has one
 * command in flight. A command without an answer counts as failed after a timeout; an answer after
 * that, or a second answer, is ignored.
 */
final class WorkerDispatcher {

    /** The delay after a command that failed or was refused, in milliseconds. */
    private static final long RETRY_MILLIS = 500;

    /** The times. */
    private final CellSettings settings;

    /** The ownership. */
    private final Ownership ownership;

    /** The choice of commands. */
    private final LaneCommands commands;

    /** The source of call numbers. */
    private final LongSupplier callIds;

    /** The workers of the calls in flight. */
    private final Map<Long, WorkerLane> open = new HashMap<>();

    /**
     * Creates a dispatcher without open calls.
     *
     * @param settings the times
     * @param ownership the ownership
     * @param order the order in which waiting jobs are started
     * @param callIds the source of call numbers
     */
    WorkerDispatcher(
            CellSettings settings, Ownership ownership, StartOrder order, LongSupplier callIds) {
        this.settings = settings;
        this.ownership = ownership;
        this.commands = new LaneCommands(settings, ownership, order);
        this.callIds = callIds;
    }

    /**
     * Sends the next command to each worker that can take one.
     *
     * @param lanes the workers
     * @param nowMillis the time, in milliseconds
     * @param actions where the commands go
     */
    void poll(Map<WorkerId, WorkerLane> lanes, long nowMillis, List<CellAction> actions) {
        for (WorkerLane lane : lanes.values()) {
            Optional<WorkerCommand> command = commands.next(lane, nowMillis);
            if (command.isPresent()) {
                long callId = callIds.getAsLong();
                lane.sent(callId, command.get(), nowMillis);
                open.put(callId, lane);
                actions.add(new WorkerRequest(callId, lane.worker, command.get()));
            }
        }
    }

    /**
     * Takes an answer.
     *
     * @param callId the number of the call
     * @param answer the answer
     * @param term the term of the owner
     * @param nowMillis the time, in milliseconds
     * @param actions where usage reports go
     */
    void answered(
            long callId,
            WorkerAnswer answer,
            OwnerTerm term,
            long nowMillis,
            List<CellAction> actions) {
        WorkerLane lane = open.remove(callId);
        if (lane == null || lane.callId != callId) {
            return;
        }
        WorkerCommand command = lane.command;
        lane.clearCall();
        lane.heard(answer.stamp(), nowMillis);
        if (answer instanceof ProbeAnswer probe) {
            lane.capacity = probe.capacity();
            lane.suspended = false;
            lane.inventoryMillis = Long.MIN_VALUE / 2;
        } else if (answer instanceof RefusedAnswer refused) {
            refused(lane, refused, nowMillis);
        } else if (answer instanceof ReportAnswer report) {
            if (command instanceof FenceCommand) {
                lane.fenced = true;
                lane.inventoryMillis = nowMillis;
            }
            report(lane, report, term, nowMillis, actions);
        }
    }

    /**
     * Takes the failure of a command.
     *
     * @param callId the number of the call
     * @param nowMillis the time, in milliseconds
     */
    void failed(long callId, long nowMillis) {
        WorkerLane lane = open.remove(callId);
        if (lane == null || lane.callId != callId) {
            return;
        }
        if (lane.command instanceof ThrottleCommand throttle) {
            lane.speeds.putIfAbsent(throttle.attempt(), throttle.speedPercent());
        }
        lane.clearCall();
        lane.retryMillis = nowMillis + RETRY_MILLIS;
    }

    /**
     * Fails the overdue commands, and stops to grant leases to workers that are silent.
     *
     * @param lanes the workers
     * @param nowMillis the time, in milliseconds
     */
    void expire(Map<WorkerId, WorkerLane> lanes, long nowMillis) {
        for (WorkerLane lane : lanes.values()) {
            boolean overdue = nowMillis - lane.sentMillis > settings.callTimeoutMillis();
            if (lane.callId != 0 && overdue) {
                failed(lane.callId, nowMillis);
            }
            boolean silent = nowMillis - lane.answeredMillis > settings.silenceMillis();
            if (lane.fenced && silent) {
                lane.suspended = true;
            }
        }
    }

    /** Forgets all calls in flight; their answers are ignored. */
    void clear() {
        open.clear();
    }

    /**
     * Takes the report of a worker.
     *
     * @param lane the worker
     * @param report the report
     * @param term the term of the owner
     * @param nowMillis the time, in milliseconds
     * @param actions where usage reports go
     */
    private static void report(
            WorkerLane lane,
            ReportAnswer report,
            OwnerTerm term,
            long nowMillis,
            List<CellAction> actions) {
        if (!lane.fenced) {
            return;
        }
        term.reconciler().reconcile(lane, report.stamp(), report.inventory(), nowMillis);
        if (report.usage().measuredAtMillis() > lane.usageMillis) {
            lane.usageMillis = report.usage().measuredAtMillis();
            actions.add(new UsageObserved(lane.worker, report.usage()));
        }
    }

    /**
     * Takes a refusal.
     *
     * @param lane the worker
     * @param refused the refusal
     * @param nowMillis the time, in milliseconds
     */
    private void refused(WorkerLane lane, RefusedAnswer refused, long nowMillis) {
        if (refused.reason() == RefusalReason.EXPIRED_PERMIT) {
            return;
        }
        lane.fenced = false;
        lane.retryMillis = nowMillis + RETRY_MILLIS;
        if (refused.reason() == RefusalReason.LOWER_GENERATION) {
            ownership.confirmNow();
        }
    }
}
