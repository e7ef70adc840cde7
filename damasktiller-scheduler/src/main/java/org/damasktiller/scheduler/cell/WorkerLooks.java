package org.damasktiller.scheduler.cell;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.Set;
import org.damasktiller.scheduler.model.EndView;
import org.damasktiller.scheduler.model.Inventory;
import org.damasktiller.scheduler.model.Resources;
import org.damasktiller.scheduler.model.RunView;
import org.damasktiller.scheduler.port.HoldOrder;
import org.damasktiller.scheduler.port.WorkerCalls;
import org.damasktiller.scheduler.port.WorkerReply;
import org.damasktiller.scheduler.port.WorkerStatus;

/**
 * Looks at the workers again and again: lengthens their leases, takes in what they run and what has
 * ended, and finds out which runs are certainly over.
 */
final class WorkerLooks {

    /**
     * Acknowledges no end. A worker that did not answer may have begun a new life, whose ends have
     * numbers of their own: acknowledging those of the former life would make it forget new ones.
     */
    private static final long NOTHING_ACKNOWLEDGED = 0;

    /** From how many listed ends on a list may be cut short, from the platform's pages. */
    private static final int LONGEST_END_LIST = 500;

    /** The pause before a look while ends wait for their commit, in milliseconds. */
    private static final long COMMIT_WAIT_MILLIS = 300;

    /** The shared part. */
    private final CellCore core;

    /** Applies ends. */
    private final JobTracker jobTracker;

    /** Sends orders. */
    private final RunRequestSender requestSender;

    /** Told after each look. */
    private final Listener listener;

    /**
     * Creates the looks.
     *
     * @param core the shared part
     * @param jobTracker applies ends
     * @param requestSender sends orders
     * @param listener told after each look
     */
    WorkerLooks(
            CellCore core,
            JobTracker jobTracker,
            RunRequestSender requestSender,
            Listener listener) {
        this.core = core;
        this.jobTracker = jobTracker;
        this.requestSender = requestSender;
        this.listener = listener;
    }

    /**
     * Looks at a worker unless a look is on its way.
     *
     * @param worker the worker
     */
    void look(WorkerRecord worker) {
        if (core.over || worker.pollInFlight || core.workers.get(worker.id) != worker) {
            return;
        }
        worker.pollInFlight = true;
        worker.lastPollNumber++;
        long number = worker.lastPollNumber;
        long now = core.now();
        boolean first = !worker.fenced || worker.provenClockMillis == WorkerRecord.NO_CLOCK;
        long leaseEnd = WorkerCalls.NO_LEASE;
        if (!first && worker.missedPolls == 0) {
            leaseEnd = core.leases.leaseEnd(worker, now);
            core.leases.noteGrant(worker, leaseEnd, now);
        }
        boolean sameLife = worker.missedPolls == 0;
        HoldOrder order =
                new HoldOrder(
                        leaseEnd,
                        core.term.generation(),
                        sameLife ? worker.acknowledgedSequence : NOTHING_ACKNOWLEDGED,
                        sameLife && worker.fenced ? core.settings.lookWaitMillis() : 0);
        core.calls.hold(worker.address(), order, reply -> onReply(worker, number, reply));
    }

    /**
     * Takes the answer to a look.
     *
     * @param worker the worker
     * @param number the number of the look
     * @param reply the answer
     */
    private void onReply(WorkerRecord worker, long number, WorkerReply reply) {
        worker.pollInFlight = false;
        if (core.over || core.workers.get(worker.id) != worker) {
            return;
        }
        Inventory inventory = reply.inventory();
        if (reply.status() != WorkerStatus.OK || inventory == null) {
            worker.missedPolls++;
            listener.onMissedLook(worker, reply);
            core.schedule(core.settings.lookRetryMillis(), () -> look(worker));
            return;
        }
        if (reply.bornUnixMillis() < worker.bootUnixMillis) {
            look(worker);
            return;
        }
        long now = core.now();
        if (worker.bootUnixMillis != 0 && reply.bornUnixMillis() > worker.bootUnixMillis) {
            restarted(worker, reply.bornUnixMillis());
        }
        worker.bootUnixMillis = reply.bornUnixMillis();
        worker.clockMillis = reply.clockMillis();
        worker.clockReadAtMillis = now;
        worker.answeredAtMillis = now;
        worker.missedPolls = 0;
        boolean first = !worker.fenced;
        worker.fenced = true;
        merge(worker, number, inventory);
        listener.onLook(worker, first);
        if (worker.pendingEnds.isEmpty()) {
            look(worker);
        } else {
            core.schedule(COMMIT_WAIT_MILLIS, () -> look(worker));
        }
    }

    /**
     * Takes note of a new boot of a worker: what ran before is over, but a start that got no answer
     * may still arrive, and has to be stopped there too.
     *
     * @param worker the worker
     * @param bornUnixMillis when the new boot began
     */
    void restarted(WorkerRecord worker, long bornUnixMillis) {
        core.log.log(
                "worker.restarted",
                "worker",
                worker.id,
                "born",
                bornUnixMillis,
                "before",
                worker.bootUnixMillis);
        worker.fenced = false;
        worker.bootUnixMillis = bornUnixMillis;
        worker.clockMillis = WorkerRecord.NO_CLOCK;
        worker.provenClockMillis = WorkerRecord.NO_CLOCK;
        worker.candidateClockMillis = WorkerRecord.NO_CLOCK;
        worker.appliedSequence = 0;
        worker.acknowledgedSequence = 0;
        worker.pendingEnds.clear();
        for (RunRecord record : new ArrayList<>(worker.runs.values())) {
            boolean mayArrive =
                    record.phase == RunPhase.STARTING || record.phase == RunPhase.UNCERTAIN;
            if (mayArrive) {
                record.phase = RunPhase.UNCERTAIN;
                record.stopAcknowledged = false;
                record.firstConclusivePoll = worker.lastPollNumber + 1;
            } else {
                jobTracker.applyLoss(record, "the worker restarted");
            }
        }
    }

    /**
     * Merges an inventory.
     *
     * @param worker the worker
     * @param number the number of the look
     * @param inventory the inventory
     */
    private void merge(WorkerRecord worker, long number, Inventory inventory) {
        for (EndView end : inventory.ended()) {
            if (end.sequence() > worker.appliedSequence) {
                worker.appliedSequence = end.sequence();
                worker.pendingEnds.add(jobTracker.applyEnd(worker, end));
            }
        }
        worker.advanceAcknowledgement(core.settled, core.term.runBase());
        Set<RunKey> seen = new HashSet<>();
        for (RunView view : inventory.running()) {
            seen.add(new RunKey(view.task(), view.run()));
            mergeRun(worker, view);
        }
        boolean whole = inventory.ended().size() < LONGEST_END_LIST;
        for (RunRecord record : new ArrayList<>(worker.runs.values())) {
            if (whole && !seen.contains(record.key()) && number >= record.firstConclusivePoll) {
                judgeAbsent(record);
            }
        }
    }

    /**
     * Merges a run that the worker lists as active.
     *
     * @param worker the worker
     * @param view the run
     */
    private void mergeRun(WorkerRecord worker, RunView view) {
        RunRecord record = worker.runs.get(new RunKey(view.task(), view.run()));
        if (record == null) {
            record = adopt(worker, view);
        }
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
     * Takes over a run that a former owner started, or stops one that must not be there.
     *
     * @param worker the worker
     * @param view the run
     * @return the record of the run
     */
    private RunRecord adopt(WorkerRecord worker, RunView view) {
        TaskRecord task = jobTracker.findTask(view.task());
        boolean wanted = task != null && !task.done && elsewhere(task, view);
        Resources reserved = task == null ? Resources.NONE : task.step.spec.reserved();
        RunRecord record =
                new RunRecord(
                        view.task(),
                        view.run(),
                        worker,
                        wanted ? task : null,
                        reserved,
                        RunPhase.RUNNING,
                        core.now());
        record.cpuLimitPercent = RunRecord.UNKNOWN;
        record.everThrottled = true;
        worker.addRun(record);
        if (task != null) {
            task.highestRunNumber = Math.max(task.highestRunNumber, view.run());
        }
        core.log.log(
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
     * Tells whether an adopted run may go on: no other run of the task is active, and it has not
     * been superseded.
     *
     * @param task the task
     * @param view the run
     * @return whether it may
     */
    private static boolean elsewhere(TaskRecord task, RunView view) {
        return task.runs.isEmpty() && view.run() > task.highestEndedRunNumber;
    }

    /**
     * Judges a run that a complete inventory does not have.
     *
     * @param record the run
     */
    private void judgeAbsent(RunRecord record) {
        switch (record.phase) {
            case UNCERTAIN -> requestSender.stop(record);
            case STOPPING -> {
                if (record.stopAcknowledged) {
                    jobTracker.applyLoss(record, "stopped before it arrived");
                } else {
                    requestSender.sendStop(record);
                }
            }
            case RUNNING -> jobTracker.applyLoss(record, "the worker no longer lists it");
            default -> {
                return;
            }
        }
    }

    /**
     * Ends the runs of a worker whose leases are certainly over.
     *
     * @param worker the worker
     */
    void expire(WorkerRecord worker) {
        if (core.now() < worker.leasesExpireAtMillis) {
            return;
        }
        for (RunRecord record : new ArrayList<>(worker.runs.values())) {
            boolean mayArrive =
                    record.phase == RunPhase.UNCERTAIN || record.phase == RunPhase.STARTING;
            if (!mayArrive
                    || core.now() - record.trackedSinceMillis
                            > RunRequestSender.MAX_ARRIVAL_DELAY_MILLIS) {
                jobTracker.applyLoss(record, "the lease of the worker expired");
            }
        }
    }

    /** Told after each look. */
    interface Listener {

        /**
         * Tells that a worker has answered a look.
         *
         * @param worker the worker
         * @param first whether it is the first look at this boot
         */
        void onLook(WorkerRecord worker, boolean first);

        /**
         * Tells that a look got no answer or was refused.
         *
         * @param worker the worker
         * @param reply the answer
         */
        void onMissedLook(WorkerRecord worker, WorkerReply reply);
    }
}
