package org.damasktiller.scheduler.cell;

import java.util.function.Consumer;
import org.damasktiller.scheduler.port.StartRequest;
import org.damasktiller.scheduler.port.WorkerReply;
import org.damasktiller.scheduler.port.WorkerStatus;

/**
 * Sends requests to workers: to start, stop and throttle runs.
 *
 * <p>After a start request without an answer, the state of the run is uncertain. It is resolved by
 * an inventory that lists the run, or by an acknowledged request to stop that very run.
 */
final class RunRequestSender {

    /**
     * The maximum time after which a request without an answer may still be carried out, in
     * milliseconds.
     */
    static final long MAX_ARRIVAL_DELAY_MILLIS = 13_000;

    /** The delay before a failed stop request is sent again, in milliseconds. */
    private static final long STOP_RETRY_DELAY_MILLIS = 150;

    /**
     * How long a worker counts as full after it rejected a start for lack of resources, in
     * milliseconds: about one poll.
     */
    private static final long FULL_BACKOFF_MILLIS = 400;

    /** How long a worker gets no starts after it reported that it is unhealthy, in milliseconds. */
    private static final long UNHEALTHY_BACKOFF_MILLIS = 1_500;

    /** How long a worker gets no starts after it left one unanswered, in milliseconds. */
    private static final long UNANSWERED_BACKOFF_MILLIS = 1_000;

    /**
     * The delay before a task whose start request the worker did not understand is started again,
     * in milliseconds.
     */
    private static final long INVALID_BACKOFF_MILLIS = 1_000;

    /** The shared state of the cell's owner. */
    private final CellContext context;

    /** Called when the waiting tasks or the free resources may have changed. */
    private final Runnable onCapacityChange;

    /** Called when a worker has seen a higher fencing token, so that the cell has another owner. */
    private final Runnable onHigherToken;

    /** Called with the task when a worker has confirmed the start of a run. */
    private Consumer<TaskRecord> startListener = task -> {};

    /**
     * Creates a sender without requests in flight.
     *
     * @param context the shared state of the cell's owner
     * @param onCapacityChange called when the waiting tasks or the free resources may have changed
     * @param onHigherToken called when a worker has seen a higher fencing token
     */
    RunRequestSender(CellContext context, Runnable onCapacityChange, Runnable onHigherToken) {
        this.context = context;
        this.onCapacityChange = onCapacityChange;
        this.onHigherToken = onHigherToken;
    }

    /**
     * Sets what is called when a worker has confirmed the start of a run.
     *
     * @param listener called with the task
     */
    void onStarted(Consumer<TaskRecord> listener) {
        startListener = listener;
    }

    /**
     * Starts a run of a task, and reserves its resources on the worker.
     *
     * @param task the task
     * @param worker the worker
     * @param runNumber the number of the run, higher than those of all earlier runs of the task
     * @param ticket the ticket of the advice service, or an empty string if none is needed
     */
    void start(TaskRecord task, WorkerRecord worker, int runNumber, String ticket) {
        long now = context.now();
        task.highestRunNumber = runNumber;
        RunRecord record =
                new RunRecord(
                        task.id,
                        runNumber,
                        worker,
                        task,
                        task.step.spec.reserved(),
                        RunPhase.STARTING,
                        now);
        record.checkpoint = task.checkpoint;
        record.startCheckpoint = task.checkpoint;
        record.quarantine = Quarantine.of(task.crashes);
        record.startedCold = worker.isCold(now);
        worker.addRun(record);
        LeaseGrant lease = context.leases.grant(worker, now);
        StartRequest request =
                new StartRequest(
                        task.id,
                        runNumber,
                        task.step.occurrence.job.accepted.submission().payload(),
                        lease.endMillis(),
                        context.term.generation(),
                        task.checkpoint,
                        ticket);
        worker.startsInFlight++;
        context.log.log(
                "run.start",
                "route",
                task.step.occurrence.job.accepted.route(),
                "task",
                task.id,
                "run",
                runNumber,
                "worker",
                worker.id,
                "leaseEnd",
                lease.endMillis(),
                "free",
                worker.freeResources(),
                "waited",
                task.readySinceMillis == 0 ? 0L : now - task.readySinceMillis);
        context.workerClient.start(
                worker.address(), request, reply -> onStartReply(record, lease, reply));
    }

    /**
     * Handles the answer to a start request.
     *
     * @param record the run
     * @param lease the lease that the request carried
     * @param reply the reply; its status is {@link WorkerStatus#UNKNOWN} if no answer arrived
     */
    private void onStartReply(RunRecord record, LeaseGrant lease, WorkerReply reply) {
        WorkerRecord worker = record.worker;
        worker.startsInFlight--;
        context.onLeaseAnswered(worker, lease, reply);
        if (context.ended || worker.runs.get(record.key()) != record) {
            return;
        }
        if (reply.status() == WorkerStatus.OK) {
            record.confirmed = true;
            if (record.phase == RunPhase.STARTING) {
                record.phase = RunPhase.RUNNING;
                record.firstConclusivePoll = worker.lastPollNumber + 1;
                if (record.task != null) {
                    startListener.accept(record.task);
                }
            }
            return;
        }
        context.log.log(
                "run.refused",
                "task",
                record.taskId,
                "run",
                record.runNumber,
                "worker",
                worker.id,
                "status",
                reply.status(),
                "reason",
                reply.reason());
        if (reply.status() == WorkerStatus.UNKNOWN) {
            worker.avoidUntilMillis =
                    Math.max(worker.avoidUntilMillis, context.now() + UNANSWERED_BACKOFF_MILLIS);
            if (record.phase == RunPhase.STARTING) {
                record.phase = RunPhase.UNCERTAIN;
                record.firstConclusivePoll = worker.lastPollNumber + 1;
            }
            return;
        }
        worker.removeRun(record);
        applyRejection(record, reply.status());
        onCapacityChange.run();
    }

    /**
     * Records the consequences of a rejected start for the worker and the task.
     *
     * @param record the run
     * @param status the reason for the rejection
     */
    private void applyRejection(RunRecord record, WorkerStatus status) {
        WorkerRecord worker = record.worker;
        long now = context.now();
        switch (status) {
            case FENCED -> onHigherToken.run();
            case NO_ROOM -> worker.fullUntilMillis = now + FULL_BACKOFF_MILLIS;
            case BUSY -> worker.avoidUntilMillis = now + UNHEALTHY_BACKOFF_MILLIS;
            case NO_TICKET -> {
                if (record.task != null) {
                    record.task.step.ticketsByWorkerId.remove(worker.id);
                }
            }
            case OTHER_WORKER -> worker.avoidUntilMillis = now + UNHEALTHY_BACKOFF_MILLIS;
            case INVALID -> {
                if (record.task != null) {
                    record.task.earliestStartMillis = now + INVALID_BACKOFF_MILLIS;
                    record.task.avoidedWorkerIds.add(worker.id);
                }
            }
            default -> worker.fullUntilMillis = now + FULL_BACKOFF_MILLIS;
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
                    "run.stop",
                    "task",
                    record.taskId,
                    "run",
                    record.runNumber,
                    "worker",
                    record.worker.id);
        }
        sendStop(record);
    }

    /**
     * Sends a stop request unless one is in flight or acknowledged.
     *
     * @param record the run
     */
    void sendStop(RunRecord record) {
        if (record.stopRequestInFlight || record.stopAcknowledged || context.ended) {
            return;
        }
        record.stopRequestInFlight = true;
        context.workerClient.stop(
                record.worker.address(),
                record.taskId,
                record.runNumber,
                context.term.generation(),
                reply -> onStopReply(record, reply));
    }

    /**
     * Handles the answer to a stop request.
     *
     * @param record the run
     * @param reply the reply; its status is {@link WorkerStatus#UNKNOWN} if no answer arrived
     */
    private void onStopReply(RunRecord record, WorkerReply reply) {
        record.stopRequestInFlight = false;
        WorkerRecord worker = record.worker;
        if (context.ended || worker.runs.get(record.key()) != record) {
            return;
        }
        if (reply.status() == WorkerStatus.OK) {
            record.stopAcknowledged = true;
            record.firstConclusivePoll = worker.lastPollNumber + 1;
            return;
        }
        if (reply.status() == WorkerStatus.FENCED) {
            onHigherToken.run();
        }
        context.schedule(
                STOP_RETRY_DELAY_MILLIS,
                () -> {
                    if (worker.runs.get(record.key()) == record) {
                        sendStop(record);
                    }
                });
    }

    /**
     * Sends the wanted CPU limit of a run to its worker, unless such a request is in flight.
     *
     * @param record the run, whose wanted limit differs from the confirmed one or must be sent
     *     again
     */
    void sendCpuLimit(RunRecord record) {
        if (record.cpuLimitRequestInFlight || context.ended) {
            return;
        }
        record.cpuLimitRequestInFlight = true;
        record.cpuLimitSentAtMillis = context.now();
        int wantedPercent = record.wantedCpuLimitPercent;
        record.everThrottled |= wantedPercent < RunRecord.FULL_PERCENT;
        context.workerClient.throttle(
                record.worker.address(),
                record.taskId,
                record.runNumber,
                wantedPercent,
                context.term.generation(),
                reply -> {
                    record.cpuLimitRequestInFlight = false;
                    if (reply.status() == WorkerStatus.OK) {
                        record.cpuLimitPercent = wantedPercent;
                    } else if (reply.status() == WorkerStatus.UNKNOWN) {
                        record.cpuLimitPercent = RunRecord.UNKNOWN;
                        record.cpuLimitUncertainUntilMillis =
                                context.now() + MAX_ARRIVAL_DELAY_MILLIS;
                    }
                });
    }
}
