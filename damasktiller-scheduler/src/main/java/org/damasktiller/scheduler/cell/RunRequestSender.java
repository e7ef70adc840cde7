package org.damasktiller.scheduler.cell;

import org.damasktiller.scheduler.port.StartRequest;
import org.damasktiller.scheduler.port.WorkerReply;
import org.damasktiller.scheduler.port.WorkerStatus;

/**
 * Sends requests to start, stop and throttle runs to workers.
 *
 * <p>After a start request without an answer, the state of the run is uncertain. It is resolved by
 * an inventory that lists the run, or by an acknowledged request to stop that very run.
 */
final class RunRequestSender {

    /**
     * The maximum time after which a request without an answer may still be carried out, in
     * milliseconds.
     */
    static final long LATEST_ARRIVAL_MILLIS = 13_000;

    /** The delay before a failed stop request is sent again, in milliseconds. */
    private static final long STOP_RETRY_MILLIS = 150;

    /**
     * How long a worker counts as full after it rejected a start for lack of resources, in
     * milliseconds: about one poll.
     */
    private static final long FULL_MILLIS = 400;

    /** How long a worker gets no starts after it reported that it is unhealthy, in milliseconds. */
    private static final long BUSY_MILLIS = 1_500;

    /** How long a worker gets no starts after it left one unanswered, in milliseconds. */
    private static final long MUTE_MILLIS = 1_000;

    /**
     * The delay before a task whose start request the worker did not understand is started again,
     * in milliseconds.
     */
    private static final long INVALID_MILLIS = 1_000;

    /** The state, settings and ports shared by the components of the cell's owner. */
    private final CellContext context;

    /** Called when the waiting tasks or the free resources may have changed. */
    private final Runnable changed;

    /** Called when a worker has seen a higher fencing token, so that the cell has another owner. */
    private final Runnable doubted;

    /**
     * Creates a sender without requests in flight.
     *
     * @param context the state, settings and ports shared by the components of the cell's owner
     * @param changed called when the waiting tasks or the free resources may have changed
     * @param doubted called when a worker has seen a higher fencing token
     */
    RunRequestSender(CellContext context, Runnable changed, Runnable doubted) {
        this.context = context;
        this.changed = changed;
        this.doubted = doubted;
    }

    /**
     * Starts a run of a task, and reserves its resources on the worker.
     *
     * @param task the task
     * @param worker the worker
     * @param run the number of the run, higher than those of all earlier runs of the task
     * @param ticket the ticket of the advice service, or an empty string if none is needed
     */
    void start(TaskRecord task, WorkerRecord worker, int run, String ticket) {
        long now = context.now();
        task.lastRun = run;
        RunRecord record =
                new RunRecord(
                        task.id,
                        run,
                        worker,
                        task,
                        task.step.spec.reserved(),
                        RunPhase.STARTING,
                        now);
        record.checkpoint = task.checkpoint;
        record.startCheckpoint = task.checkpoint;
        worker.add(record);
        long leaseEnd = context.leases.leaseEnd(worker, now);
        context.leases.recordGrant(worker, leaseEnd, now);
        StartRequest order =
                new StartRequest(
                        task.id,
                        run,
                        task.step.occurrence.job.accepted.submission().payload(),
                        leaseEnd,
                        context.term.generation(),
                        task.checkpoint,
                        ticket);
        worker.ordersInFlight++;
        context.log.log(
                "run.start",
                "route",
                task.step.occurrence.job.accepted.route(),
                "task",
                task.id,
                "run",
                run,
                "worker",
                worker.id,
                "leaseEnd",
                leaseEnd,
                "free",
                worker.free(),
                "waited",
                task.readySinceMillis == 0 ? 0L : now - task.readySinceMillis);
        context.calls.start(worker.address(), order, reply -> onStart(record, reply));
    }

    /**
     * Handles the answer to a start request.
     *
     * @param record the run
     * @param reply the answer
     */
    private void onStart(RunRecord record, WorkerReply reply) {
        WorkerRecord worker = record.worker;
        worker.ordersInFlight--;
        if (context.ended || worker.runs.get(record.key()) != record) {
            return;
        }
        if (reply.status() == WorkerStatus.OK) {
            if (record.phase == RunPhase.STARTING) {
                record.phase = RunPhase.RUNNING;
                record.settledAfterLook = worker.lookNumber + 1;
            }
            return;
        }
        context.log.log(
                "run.refused",
                "task",
                record.id,
                "run",
                record.run,
                "worker",
                worker.id,
                "status",
                reply.status(),
                "reason",
                reply.reason());
        if (reply.status() == WorkerStatus.UNKNOWN) {
            worker.avoidUntilMillis =
                    Math.max(worker.avoidUntilMillis, context.now() + MUTE_MILLIS);
            if (record.phase == RunPhase.STARTING) {
                record.phase = RunPhase.UNCERTAIN;
                record.settledAfterLook = worker.lookNumber + 1;
            }
            return;
        }
        worker.remove(record);
        penalise(record, reply.status());
        changed.run();
    }

    /**
     * Records the consequences of a rejected start for the worker and the task.
     *
     * @param record the run
     * @param status the reason for the rejection
     */
    private void penalise(RunRecord record, WorkerStatus status) {
        WorkerRecord worker = record.worker;
        long now = context.now();
        switch (status) {
            case FENCED -> doubted.run();
            case NO_ROOM -> worker.fullUntilMillis = now + FULL_MILLIS;
            case BUSY -> worker.avoidUntilMillis = now + BUSY_MILLIS;
            case NO_TICKET -> {
                if (record.task != null) {
                    record.task.step.tickets.remove(worker.id);
                }
            }
            case OTHER_WORKER -> worker.avoidUntilMillis = now + BUSY_MILLIS;
            case INVALID -> {
                if (record.task != null) {
                    record.task.notBeforeMillis = now + INVALID_MILLIS;
                }
            }
            default -> worker.fullUntilMillis = now + FULL_MILLIS;
        }
    }

    /**
     * Marks a run as stopping, and sends the stop request.
     *
     * @param record the run
     */
    void stop(RunRecord record) {
        if (record.phase != RunPhase.STOPPING) {
            record.phase = RunPhase.STOPPING;
            context.log.log(
                    "run.stop", "task", record.id, "run", record.run, "worker", record.worker.id);
        }
        sendStop(record);
    }

    /**
     * Sends a stop request unless one is in flight or acknowledged.
     *
     * @param record the run
     */
    void sendStop(RunRecord record) {
        if (record.stopSent || record.stopAcknowledged || context.ended) {
            return;
        }
        record.stopSent = true;
        context.calls.stop(
                record.worker.address(),
                record.id,
                record.run,
                context.term.generation(),
                reply -> onStop(record, reply));
    }

    /**
     * Handles the answer to a stop request.
     *
     * @param record the run
     * @param reply the answer
     */
    private void onStop(RunRecord record, WorkerReply reply) {
        record.stopSent = false;
        WorkerRecord worker = record.worker;
        if (context.ended || worker.runs.get(record.key()) != record) {
            return;
        }
        if (reply.status() == WorkerStatus.OK) {
            record.stopAcknowledged = true;
            record.settledAfterLook = worker.lookNumber + 1;
            return;
        }
        if (reply.status() == WorkerStatus.FENCED) {
            doubted.run();
        }
        context.schedule(
                STOP_RETRY_MILLIS,
                () -> {
                    if (worker.runs.get(record.key()) == record) {
                        sendStop(record);
                    }
                });
    }

    /**
     * Sends the wanted CPU limit of a run, unless such a request is in flight.
     *
     * @param record the run, whose wanted limit differs from the confirmed one or must be sent
     *     again
     */
    void pace(RunRecord record) {
        if (record.pacing || context.ended) {
            return;
        }
        record.pacing = true;
        record.pacedAtMillis = context.now();
        int wanted = record.wantedPercent;
        record.slowed |= wanted < RunRecord.FULL_PERCENT;
        context.calls.throttle(
                record.worker.address(),
                record.id,
                record.run,
                wanted,
                context.term.generation(),
                reply -> {
                    record.pacing = false;
                    if (reply.status() == WorkerStatus.OK) {
                        record.percent = wanted;
                    } else if (reply.status() == WorkerStatus.UNKNOWN) {
                        record.percent = RunRecord.UNKNOWN;
                        record.paceDoubtUntilMillis = context.now() + LATEST_ARRIVAL_MILLIS;
                    }
                });
    }
}
