package org.damasktiller.scheduler.cell;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.Set;
import org.damasktiller.scheduler.model.ActiveRun;
import org.damasktiller.scheduler.model.EndedRun;
import org.damasktiller.scheduler.model.Inventory;
import org.damasktiller.scheduler.model.Resources;
import org.damasktiller.scheduler.port.HeartbeatRequest;
import org.damasktiller.scheduler.port.WorkerClient;
import org.damasktiller.scheduler.port.WorkerReply;
import org.damasktiller.scheduler.port.WorkerStatus;
import org.jspecify.annotations.Nullable;

/**
 * Polls the workers continuously. Each poll extends the lease of its worker and returns an
 * inventory of active and ended runs, from which the poller updates the run records and determines
 * which runs are certainly over.
 */
final class WorkerPoller {

    /**
     * The number of run ends from which on an inventory may be truncated, given by the platform's
     * documentation.
     */
    private static final int END_LIST_LIMIT_COUNT = 500;

    /** The delay before the next poll while run ends wait for their commit, in milliseconds. */
    private static final long PENDING_COMMIT_DELAY_MILLIS = 300;

    /** The shared state of the cell's owner. */
    private final CellContext context;

    /** Applies run ends to jobs. */
    private final JobTracker jobTracker;

    /** Sends stop requests. */
    private final RunRequestSender requestSender;

    /** Called after each answered or failed poll. */
    private final Listener listener;

    /**
     * Creates a poller that polls no worker yet.
     *
     * @param context the shared state of the cell's owner
     * @param jobTracker applies run ends to jobs
     * @param requestSender sends stop requests
     * @param listener called after each answered or failed poll
     */
    WorkerPoller(
            CellContext context,
            JobTracker jobTracker,
            RunRequestSender requestSender,
            Listener listener) {
        this.context = context;
        this.jobTracker = jobTracker;
        this.requestSender = requestSender;
        this.listener = listener;
    }

    /**
     * Polls a worker unless a poll of it is in flight. Each outcome schedules the next poll. A poll
     * extends the lease only if the previous poll was answered, the current boot has answered this
     * owner, an ownership check has succeeded after a reading of the worker's clock, and the stored
     * roster allows it.
     *
     * @param worker the worker
     */
    void poll(WorkerRecord worker) {
        if (context.ended || worker.pollInFlight || context.workers.get(worker.id) != worker) {
            return;
        }
        worker.pollInFlight = true;
        worker.lastPollNumber++;
        long pollNumber = worker.lastPollNumber;
        long now = context.now();
        worker.pollSentAtMillis = now;
        worker.polledAddress = worker.addressText();
        LeaseGrant lease = grantLease(worker, now);
        boolean sameBoot = worker.missedPolls == 0;
        long acknowledged = sameBoot ? worker.acknowledgement.next() : EndAcknowledgement.NONE;
        HeartbeatRequest request =
                new HeartbeatRequest(
                        lease == null ? WorkerClient.LEASE_UNCHANGED : lease.endMillis(),
                        context.term.generation(),
                        acknowledged,
                        sameBoot && worker.fenced ? context.settings.pollWaitMillis() : 0);
        context.workerClient.heartbeat(
                worker.address(),
                request,
                reply -> {
                    if (lease != null) {
                        context.onLeaseAnswered(worker, lease, reply);
                    }
                    updateAcknowledgement(worker, acknowledged, now, reply);
                    context.loopUsage.run("poll", () -> onReply(worker, pollNumber, reply));
                });
    }

    /**
     * Grants the lease that a poll carries.
     *
     * @param worker the worker
     * @param now the current time, in milliseconds
     * @return the lease, or null if the poll must not extend it
     */
    private @Nullable LeaseGrant grantLease(WorkerRecord worker, long now) {
        boolean awaitingOwnershipCheck =
                !worker.fenced || worker.verifiedClockMillis == WorkerRecord.NO_CLOCK;
        return awaitingOwnershipCheck || worker.missedPolls > 0 || !worker.rosterAllowsLeases
                ? null
                : context.leases.grant(worker, now);
    }

    /**
     * Takes note of whether the known boot of a worker has forgotten the ends that a poll named.
     *
     * @param worker the worker
     * @param acknowledged what the poll named
     * @param sentAtMillis when it was sent, in milliseconds
     * @param reply the answer
     */
    private static void updateAcknowledgement(
            WorkerRecord worker, long acknowledged, long sentAtMillis, WorkerReply reply) {
        if (reply.status() != WorkerStatus.OK) {
            worker.acknowledgement.onUnanswered(acknowledged, sentAtMillis);
        } else if (reply.bootUnixMillis() == worker.bootUnixMillis) {
            worker.acknowledgement.onAnswered(acknowledged);
        }
    }

    /**
     * Handles the answer to a poll. An answer of a boot before the known one is ignored.
     *
     * @param worker the worker
     * @param pollNumber the number of the poll
     * @param reply the answer
     */
    private void onReply(WorkerRecord worker, long pollNumber, WorkerReply reply) {
        worker.pollInFlight = false;
        if (context.ended || context.workers.get(worker.id) != worker) {
            return;
        }
        Inventory inventory = reply.inventory();
        if (reply.status() != WorkerStatus.OK || inventory == null) {
            if (worker.missedPolls == 0) {
                worker.contactLostAtMillis = context.now();
                worker.crashCandidates = -1;
            }
            worker.missedPolls++;
            listener.onPollFailed(worker, reply);
            context.schedule(context.settings.pollRetryMillis(), () -> poll(worker));
            return;
        }
        if (context.unloaded.requestListed(inventory)) {
            context.schedule(context.settings.pollRetryMillis(), () -> poll(worker));
            return;
        }
        boolean outdated = pollNumber <= worker.doubtedPollNumber;
        if (outdated || reply.bootUnixMillis() < worker.bootUnixMillis) {
            poll(worker);
            return;
        }
        long now = context.now();
        if (worker.bootUnixMillis != 0 && reply.bootUnixMillis() > worker.bootUnixMillis) {
            resetAfterRestart(worker, reply.bootUnixMillis());
        }
        worker.bootUnixMillis = reply.bootUnixMillis();
        worker.clockMillis = reply.clockMillis();
        worker.clockReadAtMillis = now;
        worker.answeredAtMillis = now;
        worker.answeredPollSentAtMillis = worker.pollSentAtMillis;
        worker.answeredAddress = worker.polledAddress;
        worker.missedPolls = 0;
        boolean first = !worker.fenced;
        worker.fenced = true;
        mergeInventory(worker, pollNumber, inventory);
        listener.onPollAnswered(worker, first);
        if (worker.pendingEnds.isEmpty()) {
            poll(worker);
        } else {
            context.schedule(PENDING_COMMIT_DELAY_MILLIS, () -> poll(worker));
        }
    }

    /**
     * Relies on no earlier answer of a worker any more, since its entry names a later boot. Any
     * client of the store may have written that, so that only an answer to a later poll shows
     * whether the worker has restarted.
     *
     * @param worker the worker
     */
    void awaitNewAnswer(WorkerRecord worker) {
        context.log.log(
                "worker.doubted",
                "worker",
                worker.id,
                "born",
                worker.entry.bootUnixMillis(),
                "answered",
                worker.bootUnixMillis);
        doubtBoot(worker, context.now());
    }

    /**
     * Relies on no earlier answer of a worker any more, since it may have another boot. It gets
     * neither leases nor starts until it answers a later poll.
     *
     * @param worker the worker
     * @param nowMillis the current time, in milliseconds
     */
    static void doubtBoot(WorkerRecord worker, long nowMillis) {
        if (worker.missedPolls == 0) {
            worker.contactLostAtMillis = nowMillis;
            worker.crashCandidates = -1;
            worker.missedPolls = 1;
        }
        worker.fenced = false;
        worker.doubtedPollNumber = worker.lastPollNumber;
    }

    /**
     * Resets a worker's record after a restart. The runs of the earlier boot are over, but an
     * unanswered start request may still reach the new boot and therefore has to be stopped there.
     *
     * @param worker the worker
     * @param bootUnixMillis when the new boot began, in milliseconds since 1970
     */
    private void resetAfterRestart(WorkerRecord worker, long bootUnixMillis) {
        context.log.log(
                "worker.restarted",
                "worker",
                worker.id,
                "born",
                bootUnixMillis,
                "before",
                worker.bootUnixMillis);
        jobTracker.crashTracker().onRestarted(worker);
        context.leases.onRestarted(worker);
        worker.fenced = false;
        worker.bootUnixMillis = bootUnixMillis;
        worker.clockMillis = WorkerRecord.NO_CLOCK;
        worker.verifiedClockMillis = WorkerRecord.NO_CLOCK;
        worker.candidateClockMillis = WorkerRecord.NO_CLOCK;
        worker.appliedSequence = 0;
        worker.avoidUntilMillis =
                Math.max(worker.avoidUntilMillis, worker.acknowledgement.restart());
        worker.pendingEnds.clear();
        for (RunRecord record : new ArrayList<>(worker.runs.values())) {
            if (record.mayArrive()) {
                record.phase = RunPhase.UNCERTAIN;
                record.stopAcknowledged = false;
                record.sentToFormerBoot = true;
                record.firstConclusivePoll = worker.lastPollNumber + 1;
            } else {
                jobTracker.applyLoss(record, "the worker restarted");
            }
        }
    }

    /**
     * Updates the run records from an inventory.
     *
     * @param worker the worker
     * @param pollNumber the number of the poll; a run counts as missing only if the poll was sent
     *     after the last request for the run was answered or failed
     * @param inventory the active and ended runs of the worker
     */
    private void mergeInventory(WorkerRecord worker, long pollNumber, Inventory inventory) {
        for (EndedRun end : inventory.ended()) {
            if (end.sequence() > worker.appliedSequence) {
                worker.appliedSequence = end.sequence();
                worker.pendingEnds.add(jobTracker.applyEnd(worker, end));
            }
        }
        worker.advanceAcknowledgement(
                context.previousOwners.areFenced(), context.term.runNumberBase());
        Set<RunKey> listedKeys = new HashSet<>();
        for (ActiveRun view : inventory.running()) {
            listedKeys.add(new RunKey(view.task(), view.run()));
            mergeRun(worker, view);
        }
        boolean complete = inventory.ended().size() < END_LIST_LIMIT_COUNT;
        for (RunRecord record : new ArrayList<>(worker.runs.values())) {
            if (complete
                    && !listedKeys.contains(record.key())
                    && pollNumber >= record.firstConclusivePoll) {
                handleMissingRun(record);
            }
        }
    }

    /**
     * Updates the record of a run that the worker lists as active, or creates one.
     *
     * @param worker the worker
     * @param view the run as the worker lists it
     */
    private void mergeRun(WorkerRecord worker, ActiveRun view) {
        RunRecord record = worker.runs.get(new RunKey(view.task(), view.run()));
        if (record == null) {
            record = adoptRun(worker, view);
        }
        record.confirmed = true;
        record.listedAtMillis = context.now();
        jobTracker.crashTracker().onListed(record);
        if (record.phase == RunPhase.STARTING || record.phase == RunPhase.UNCERTAIN) {
            record.phase = RunPhase.RUNNING;
        }
        if (record.task != null && record.phase == RunPhase.RUNNING) {
            jobTracker.recordConfirmedRun(record.task);
        }
        record.checkpoint = view.checkpoint();
        record.reportedLoad = view.load();
        record.progressPercent = view.progressPercent();
    }

    /**
     * Creates a record for an active run that this owner does not know, usually one that a previous
     * owner started. The run is stopped if its task is unknown, done or already running elsewhere.
     *
     * @param worker the worker
     * @param view the run as the worker lists it
     * @return the record of the run
     */
    private RunRecord adoptRun(WorkerRecord worker, ActiveRun view) {
        TaskRecord task = jobTracker.findTask(view.task());
        boolean wanted = task != null && !task.done && mayContinue(task, view);
        Resources reserved = task == null ? Resources.NONE : task.step.spec.reserved();
        RunRecord record =
                new RunRecord(
                        view.task(),
                        view.run(),
                        worker,
                        wanted ? task : null,
                        reserved,
                        RunPhase.RUNNING,
                        context.now());
        record.cpuLimitPercent = RunRecord.UNKNOWN;
        record.everThrottled = true;
        record.sizeUnknown = task == null;
        if (record.task != null) {
            record.quarantine = Quarantine.of(record.task.crashes);
        }
        worker.addRun(record);
        if (task != null) {
            task.highestRunNumber = Math.max(task.highestRunNumber, view.run());
        }
        context.log.log(
                "run.adopted",
                "task",
                view.task(),
                "run",
                view.run(),
                "worker",
                worker.id,
                "wanted",
                wanted);
        if (!wanted) {
            requestSender.stop(record);
        }
        return record;
    }

    /**
     * Returns whether an adopted run may continue.
     *
     * @param task the task of the run
     * @param view the run as the worker lists it
     * @return true if no other run of the task is or may be active, and no run with this number or
     *     a higher one has ended
     */
    private static boolean mayContinue(TaskRecord task, ActiveRun view) {
        return task.runs.isEmpty() && view.run() > task.highestEndedRunNumber;
    }

    /**
     * Handles a run that is missing from a complete inventory. A run that may still start is
     * stopped; any other run is over.
     *
     * @param record the run
     */
    private void handleMissingRun(RunRecord record) {
        switch (record.phase) {
            case UNCERTAIN -> requestSender.stop(record);
            case STOPPING -> {
                if (record.stopAcknowledged) {
                    jobTracker.applyLoss(
                            record, "the run was stopped before its start request arrived");
                } else {
                    requestSender.sendStop(record);
                }
            }
            case RUNNING -> jobTracker.applyLoss(record, "the worker no longer lists the run");
            default -> {
                return;
            }
        }
    }

    /**
     * Marks the runs of a worker as lost if all of its leases are certainly over. Runs whose start
     * request may still arrive are kept.
     *
     * @param worker the worker
     * @return whether an ownership check has to show that the leases are over
     */
    boolean expireRuns(WorkerRecord worker) {
        if (worker.runs.isEmpty() || context.now() < worker.leasesExpireAtMillis) {
            return false;
        }
        if (!context.areLeasesOver(worker.leasesExpireAtMillis)) {
            return true;
        }
        jobTracker.crashTracker().onLeasesOver(worker);
        for (RunRecord record : new ArrayList<>(worker.runs.values())) {
            if (!record.mayArrive()
                    || context.now() - record.trackedSinceMillis
                            > RunRequestSender.MAX_ARRIVAL_DELAY_MILLIS) {
                jobTracker.applyLoss(record, "the lease of the worker expired");
            }
        }
        return false;
    }

    /**
     * Marks the runs of a worker as lost if another one answers at its address. What the worker ran
     * is over with its process. A start request that got no answer is not carried out either, since
     * it names its worker and any other one rejects it.
     *
     * @param worker the worker
     * @param replacements tells which workers were replaced
     */
    void endRunsIfReplaced(WorkerRecord worker, ReplacementDetector replacements) {
        if (worker.missedPolls == 0 || worker.runs.isEmpty()) {
            return;
        }
        WorkerRecord replacement = replacements.replacementOf(worker);
        if (replacement == null) {
            return;
        }
        context.log.log(
                "worker.replaced",
                "worker",
                worker.id,
                "by",
                replacement.id,
                "runs",
                worker.runs.size(),
                "unanswered",
                worker.runs.values().stream().filter(RunRecord::mayArrive).count());
        jobTracker.crashTracker().onReplaced(worker);
        for (RunRecord record : new ArrayList<>(worker.runs.values())) {
            jobTracker.applyLoss(record, "another worker answers at the address of its worker");
        }
    }

    /** Called after each answered or failed poll. */
    interface Listener {

        /**
         * Called after the inventory of an answered poll was processed.
         *
         * @param worker the worker
         * @param first whether this is the first answer of the worker's current boot to this owner
         */
        void onPollAnswered(WorkerRecord worker, boolean first);

        /**
         * Called when a poll got no answer or was refused.
         *
         * @param worker the worker
         * @param reply the refusal, or the reason why there is no answer
         */
        void onPollFailed(WorkerRecord worker, WorkerReply reply);
    }
}
