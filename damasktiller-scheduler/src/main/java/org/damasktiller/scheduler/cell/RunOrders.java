package org.damasktiller.scheduler.cell;

import org.damasktiller.scheduler.port.StartOrder;
import org.damasktiller.scheduler.port.WorkerReply;
import org.damasktiller.scheduler.port.WorkerStatus;

/**
 * Sends orders to workers. A start without an answer leaves the run uncertain; it is settled by an
 * inventory that has it, or by an acknowledged stop of that very run.
 */
final class RunOrders {

    /** How late an order without an answer may still be carried out, in milliseconds. */
    static final long LATEST_ARRIVAL_MILLIS = 13_000;

    /** The pause before a stop is sent again, in milliseconds. */
    private static final long STOP_RETRY_MILLIS = 150;

    /** How long a worker that had no room counts as full, in milliseconds: one look. */
    private static final long FULL_MILLIS = 400;

    /** How long an unhealthy worker is left alone, in milliseconds. */
    private static final long BUSY_MILLIS = 1_500;

    /** How long a worker that left a start unanswered is left alone, in milliseconds. */
    private static final long MUTE_MILLIS = 1_000;

    /** How long a task waits after a start that its worker did not understand, in milliseconds. */
    private static final long INVALID_MILLIS = 1_000;

    /** The shared part. */
    private final CellContext context;

    /** Told when what waits or the room may have changed. */
    private final Runnable changed;

    /** Told when the worker has another owner. */
    private final Runnable doubted;

    /**
     * Creates the sender.
     *
     * @param context the shared part
     * @param changed told when what waits or the room may have changed
     * @param doubted told when a worker has seen a higher fencing token
     */
    RunOrders(CellContext context, Runnable changed, Runnable doubted) {
        this.context = context;
        this.changed = changed;
        this.doubted = doubted;
    }

    /**
     * Starts a run of a task.
     *
     * @param task the task
     * @param worker the worker
     * @param run the number of the run
     * @param ticket the ticket of the advice service, empty for none
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
        StartOrder order =
                new StartOrder(
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
        context.workerCalls.start(worker.address(), order, reply -> onStart(record, reply));
    }

    /**
     * Takes the answer to a start.
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
     * Notes what a refused start says of the worker and the task.
     *
     * @param record the run
     * @param status how the start ended
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
     * Stops a run.
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
     * Sends the order to stop unless one is on its way or acknowledged.
     *
     * @param record the run
     */
    void sendStop(RunRecord record) {
        if (record.stopSent || record.stopAcknowledged || context.ended) {
            return;
        }
        record.stopSent = true;
        context.workerCalls.stop(
                record.worker.address(),
                record.id,
                record.run,
                context.term.generation(),
                reply -> onStop(record, reply));
    }

    /**
     * Takes the answer to a stop.
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
     * Sets the share at which a run is let work, unless an order for it is on its way.
     *
     * @param record the run, whose wanted share differs from the present one
     */
    void pace(RunRecord record) {
        if (record.pacing || context.ended) {
            return;
        }
        record.pacing = true;
        record.pacedAtMillis = context.now();
        int wanted = record.wantedPercent;
        record.slowed |= wanted < RunRecord.FULL_PERCENT;
        context.workerCalls.pace(
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
