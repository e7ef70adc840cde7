package org.damasktiller.scheduler.cell;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import org.damasktiller.scheduler.crash.CrashHistory;
import org.damasktiller.scheduler.crash.CrashRole;
import org.damasktiller.scheduler.crash.RecordedStart;
import org.jspecify.annotations.Nullable;

/**
 * Counts crashes of workers against the tasks that may have caused them, and lets suspect tasks
 * start only once that start is recorded.
 *
 * <p>A worker that is only silent has not crashed. A crash shows by a new boot of the worker, or by
 * another worker that answers at its address, which may happen after the runs of the first one are
 * known to be over. A recorded start whose outcome nobody knows counts as one that may have caused
 * a crash.
 */
final class CrashTracker {

    /** How long workers get to answer a new owner, in milliseconds. */
    private static final long ANSWER_GRACE_MILLIS = 2_000;

    /** How long a worker whose crash has not shown is remembered, in milliseconds. */
    private static final long LOST_WORKER_MEMORY_MILLIS = 60_000;

    /** The shared state of the cell's owner. */
    private final CellContext context;

    /** Stores the changes of jobs. */
    private final CommitQueue commits;

    /** Detects causes that concern several workers. */
    private final CommonCauseDetector commonCauses;

    /** Evaluates the runs on crashed workers. */
    private final CrashEvaluator evaluator;

    /** Fails the jobs of tasks that are given up. */
    private final Listener listener;

    /** Tells whether each start is recorded. */
    private final StartRecording startRecording;

    /** The workers whose runs are over without a sign of a crash. */
    private final List<LostWorker> lostWorkers = new ArrayList<>();

    /**
     * Creates a tracker that knows of no crash but those of the stored progress.
     *
     * @param context the shared state of the cell's owner
     * @param commits stores the changes of jobs
     * @param listener fails the jobs of tasks that are given up
     */
    CrashTracker(CellContext context, CommitQueue commits, Listener listener) {
        this.context = context;
        this.commits = commits;
        this.listener = listener;
        this.startRecording = new StartRecording(context);
        this.commonCauses = new CommonCauseDetector(context);
        this.evaluator = new CrashEvaluator(context, commonCauses, this::isOpen);
    }

    /**
     * Records that a worker has stopped answering. A successor that finds no outcome of a run there
     * must count it against the task, unless the run shows that the task is not the cause.
     *
     * @param worker the worker
     */
    void onContactLost(WorkerRecord worker) {
        if (worker.wasDraining()) {
            return;
        }
        for (RunRecord run : worker.runs.values()) {
            TaskRecord task = run.task;
            if (task != null
                    && isOpen(task)
                    && task.recordedStart == null
                    && !task.crashes.isSoundForGood(run.knownActiveMillis(), run.isLongRunning())) {
                RecordedStart start = RecordedStarts.of(worker, context.term.generation()).asSent();
                recordStart(task, CommonCauseDetector.isSound(run) ? start.asActive() : start);
            }
        }
    }

    /**
     * Counts the crash of a worker that has started again, before its runs are dropped.
     *
     * @param worker the worker
     */
    void onRestarted(WorkerRecord worker) {
        if (worker.missedPolls == 0) {
            worker.contactLostAtMillis = context.now();
        }
        if (!worker.wasDraining()) {
            attribute(worker, "it started again");
        }
    }

    /**
     * Counts the crash of a worker at whose address another one answers, before its runs are
     * dropped.
     *
     * @param worker the worker
     */
    void onReplaced(WorkerRecord worker) {
        if (!worker.wasDraining()) {
            attribute(worker, "another worker answers at its address");
        }
    }

    /**
     * Remembers a worker whose leases are over, before its runs are dropped. It may have crashed or
     * have been cut off.
     *
     * @param worker the worker
     */
    void onLeasesOver(WorkerRecord worker) {
        if (worker.wasDraining()
                || worker.runs.values().stream().allMatch(run -> run.crashEvaluated)) {
            return;
        }
        List<TaskCrash> taskCrashes = evaluator.evaluate(worker);
        for (TaskCrash crash : taskCrashes) {
            if (crash.counted()) {
                countUnknown(worker.id, crash.task());
            }
        }
        lostWorkers.add(
                new LostWorker(
                        worker,
                        worker.entry.address(),
                        worker.bootUnixMillis,
                        context.now(),
                        taskCrashes));
    }

    /**
     * Records that a worker is removed, since it is not listed and runs nothing.
     *
     * @param worker the worker
     */
    void onGone(WorkerRecord worker) {
        commonCauses.onGone(worker);
    }

    /**
     * Counts the crash of a lost worker if it answers with another boot, or another worker answers
     * at its address. If it answers with the same boot, it was only cut off.
     *
     * @param worker a worker that has answered
     */
    void onAnswered(WorkerRecord worker) {
        if (lostWorkers.isEmpty()) {
            return;
        }
        for (Iterator<LostWorker> iterator = lostWorkers.iterator(); iterator.hasNext(); ) {
            LostWorker lost = iterator.next();
            if (context.now() - lost.lostAtMillis() > LOST_WORKER_MEMORY_MILLIS) {
                iterator.remove();
            } else if (worker.entry.address().equals(lost.address())) {
                iterator.remove();
                boolean sameBoot =
                        worker.id.equals(lost.worker().id)
                                && worker.bootUnixMillis == lost.bootUnixMillis();
                if (!sameBoot) {
                    lost.taskCrashes().forEach(crash -> countLate(lost, crash));
                }
            }
        }
    }

    /**
     * Records that an inventory lists a run. A run that has been active for long enough shows that
     * its task does not crash its workers.
     *
     * @param run the run
     */
    void onListed(RunRecord run) {
        TaskRecord task = run.task;
        if (task == null
                || (task.crashes.equals(CrashHistory.NONE) && task.recordedStart == null)) {
            return;
        }
        boolean lasting = task.step.spec.lasting();
        long knownActiveMillis = run.knownActiveMillis();
        if (!task.crashes.isSound(knownActiveMillis, lasting)) {
            return;
        }
        boolean forGood = task.crashes.isSoundForGood(knownActiveMillis, lasting);
        CrashHistory history = task.crashes.withSoundRun(forGood);
        run.worker.endQuarantine(run);
        if (!history.equals(task.crashes)) {
            context.log.log(
                    "task.cleared",
                    "task",
                    task.id,
                    "run",
                    run.runNumber,
                    "worker",
                    run.worker.id,
                    "knownActive",
                    knownActiveMillis,
                    "crashes",
                    task.crashes.crashes());
            task.crashes = history;
            commits.enqueue(task);
        }
        if (forGood
                || (history.equals(CrashHistory.NONE)
                        && !startRecording.keeps(task.recordedStart))) {
            onOutcomeKnown(task);
        } else if (task.recordedStart != null && !task.recordedStart.active()) {
            recordStart(task, task.recordedStart.asActive());
        }
    }

    /**
     * Returns whether the outcome of a start that a previous owner has sent may still show, since
     * the workers have had little time to answer this owner. Only the next owner waits for that, so
     * that owners in series don't wait anew.
     *
     * @param task the task, without runs
     * @return whether the task has to wait
     */
    boolean isOutcomePending(TaskRecord task) {
        RecordedStart start = startOfPreviousOwner(task);
        return start != null
                && !start.active()
                && isOfLastOwner(start)
                && !RecordedStarts.hasCrashed(start, context.allWorkers())
                && !RecordedStarts.isAlive(start, context.workers.get(start.worker()))
                && context.now() - context.term.startedAtMillis() < ANSWER_GRACE_MILLIS;
    }

    /**
     * Returns whether no other owner came between the one that recorded a start and this one.
     *
     * @param start the start
     * @return whether none came, or that is not known
     */
    private boolean isOfLastOwner(RecordedStart start) {
        return start.generation() == 0 || context.term.generation() - start.generation() <= 1;
    }

    /**
     * Returns whether a waiting task is suspect, once the outcome of an earlier start is counted.
     *
     * @param task the task, without runs
     * @return whether its next start needs care
     */
    boolean isSuspect(TaskRecord task) {
        settleStart(task);
        return task.crashes.isSuspect();
    }

    /**
     * Counts the outcome of a start that a previous owner has sent and that has neither a run nor
     * an end.
     *
     * @param task the task, without runs
     */
    void settleStart(TaskRecord task) {
        RecordedStart start = startOfPreviousOwner(task);
        if (start != null) {
            task.recordedStart = null;
            commits.enqueue(task);
            if (RecordedStarts.hasCrashed(start, context.allWorkers())) {
                CrashHistory crashes = task.crashes.withCrash(start.roleInCrash(task.crashes));
                update(start.worker(), task, crashes, "its worker is gone or has started again");
            } else if (!RecordedStarts.isAlive(start, context.workers.get(start.worker()))) {
                countUnknown(start.worker(), task);
            }
        }
    }

    /**
     * Returns the start of a task that a previous owner has sent and whose outcome was not found
     * out yet.
     *
     * @param task the task
     * @return the start, or null if there is none
     */
    private static @Nullable RecordedStart startOfPreviousOwner(TaskRecord task) {
        RecordedStart start = task.recordedStart;
        return start != null && start.sent() && task.recordedStartVersion == 0 ? start : null;
    }

    /**
     * Records that a suspect task is about to start on a worker, unless that is recorded, so that a
     * successor knows of the start.
     *
     * @param task the task
     * @param worker the worker
     * @return whether the record is stored, so that the task may start there
     */
    boolean isStartRecorded(TaskRecord task, WorkerRecord worker) {
        if (!isOpen(task)) {
            return false;
        }
        if (!RecordedStarts.of(worker, context.term.generation()).equals(task.recordedStart)) {
            recordStart(task, RecordedStarts.of(worker, context.term.generation()));
        }
        return task.step.occurrence.job.committedVersion >= task.recordedStartVersion;
    }

    /**
     * Records that a start request was sent, if the start is recorded or every start has to be.
     *
     * @param task the task
     * @param worker the worker
     */
    void onStartSent(TaskRecord task, WorkerRecord worker) {
        if (task.recordedStart != null) {
            recordStart(task, task.recordedStart.asSent());
        } else if (startRecording.isActive()) {
            recordStart(task, RecordedStarts.of(worker, context.term.generation()).asSent());
        }
    }

    /** Records that a worker has crashed or left whose owner ended before it could count that. */
    void onUncountedCrash() {
        startRecording.begin();
    }

    /**
     * Records that the outcome of a recorded start is known, and is no crash.
     *
     * @param task the task
     */
    void onOutcomeKnown(TaskRecord task) {
        if (task.recordedStart != null) {
            task.recordedStart = null;
            commits.enqueue(task);
        }
    }

    /**
     * Stores the record of a start with the progress of the job.
     *
     * @param task the task
     * @param start the record
     */
    private void recordStart(TaskRecord task, RecordedStart start) {
        Job job = task.step.occurrence.job;
        task.recordedStart = start;
        commits.enqueue(task);
        task.recordedStartVersion = job.version;
    }

    /**
     * Counts the crash of a worker against its runs.
     *
     * @param worker the worker
     * @param sign how the crash has shown, for the log
     */
    private void attribute(WorkerRecord worker, String sign) {
        for (TaskCrash crash : evaluator.evaluate(worker)) {
            count(worker, crash.task(), crash.role(), sign);
        }
    }

    /**
     * Counts the crash of a worker against a task.
     *
     * @param worker the worker
     * @param task the task
     * @param role how the task is involved
     * @param sign how the crash has shown, for the log
     */
    private void count(WorkerRecord worker, TaskRecord task, CrashRole role, String sign) {
        update(worker.id, task, task.crashes.withCrash(role), sign);
    }

    /**
     * Counts a crash that shows after the runs of the worker are known to be over.
     *
     * @param lost the worker
     * @param crash the task and its role
     */
    private void countLate(LostWorker lost, TaskCrash crash) {
        TaskRecord task = crash.task();
        CrashHistory crashes =
                crash.counted()
                        ? task.crashes.withOutcomeShown()
                        : task.crashes.withCrash(crash.role());
        update(lost.worker().id, task, crashes, "its worker is gone or has started again");
    }

    /**
     * Counts a start whose outcome will not be known against a task.
     *
     * @param workerId the identifier of the worker
     * @param task the task
     */
    private void countUnknown(String workerId, TaskRecord task) {
        update(workerId, task, task.crashes.withUnknownOutcome(), "the outcome is unknown");
    }

    /**
     * Replaces the history of a task, and fails its job if the task is given up.
     *
     * @param workerId the identifier of the worker that crashed or may have crashed
     * @param task the task
     * @param crashes the new history
     * @param sign how the crash has shown, for the log
     */
    private void update(String workerId, TaskRecord task, CrashHistory crashes, String sign) {
        if (!isOpen(task) || task.crashes.equals(crashes)) {
            return;
        }
        CrashHistory before = task.crashes;
        Job job = task.step.occurrence.job;
        task.crashes = crashes;
        commits.enqueue(task);
        boolean bystander =
                crashes.crashes() == before.crashes()
                        && crashes.unknownOutcomes() == before.unknownOutcomes();
        if (!bystander) {
            task.crashedAtMillis = context.now();
        } else if (!crashes.isSuspect()) {
            return;
        }
        context.log.log(
                "task.crash",
                "route",
                job.accepted.route(),
                "task",
                task.id,
                "worker",
                workerId,
                "sign",
                sign,
                "crashes",
                crashes.crashes(),
                "bystander",
                crashes.bystanderCrashes(),
                "unknown",
                crashes.unknownOutcomes(),
                "givenUp",
                crashes.isGivenUp());
        if (crashes.isGivenUp()) {
            listener.onGivenUp(job);
        }
    }

    /**
     * Returns whether a task has to be done by this owner.
     *
     * @param task the task
     * @return whether it is not done, has its home in the cell, and its submission is open
     */
    private boolean isOpen(TaskRecord task) {
        Job job = task.step.occurrence.job;
        return task.isOwed() && !job.state.isFinal() && context.jobs.get(job.id()) == job;
    }

    /** Called when a task is given up. */
    interface Listener {

        /**
         * Called when a task of a job is given up.
         *
         * @param job the job
         */
        void onGivenUp(Job job);
    }

    /**
     * A worker whose runs are over without a sign of a crash.
     *
     * @param worker the worker
     * @param address its address
     * @param bootUnixMillis when it had booted, in milliseconds since 1970
     * @param lostAtMillis when its leases were over, in milliseconds
     * @param taskCrashes the tasks against which a crash would count
     */
    private record LostWorker(
            WorkerRecord worker,
            InetSocketAddress address,
            long bootUnixMillis,
            long lostAtMillis,
            List<TaskCrash> taskCrashes) {}
}
