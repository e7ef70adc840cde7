package org.damasktiller.scheduler.cell;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.damasktiller.scheduler.order.ArrivalOrder;
import org.damasktiller.scheduler.order.Lateness;
import org.damasktiller.scheduler.order.PreferredFirst;
import org.damasktiller.scheduler.order.UrgencyOrder;
import org.damasktiller.scheduler.order.WaitingOrder;
import org.damasktiller.scheduler.order.WorkRank;
import org.damasktiller.scheduler.policy.Policy;

/**
 * Starts waiting tasks on workers with free resources, in order of urgency.
 *
 * <p>Load pattern: more work than capacity. The order of the waiting steps is a policy of its own
 * ({@link WaitingOrder}).
 */
final class TaskScheduler {

    /** The maximum number of starts in a pass, which bounds its duration. A gang is never split. */
    static final int MAX_STARTS_PER_PASS = 64;

    /** The shared state of the cell's owner. */
    private final CellContext context;

    /** Selects workers. */
    private final WorkerSelector workerSelector;

    /** Selects workers for tasks that may crash them. */
    private final SuspectPlacement suspectPlacement;

    /** Selects workers for gangs. */
    private final GangPlacement gangPlacement;

    /** Sends the start requests. */
    private final RunRequestSender requestSender;

    /** Collects the steps that have waiting tasks. */
    private final WaitingStepCollector collector;

    /** Holds the tickets for routes that need advice. */
    private final AdviceTicketProvider advice;

    /** Tells which tasks may crash their workers. */
    private final CrashTracker crashTracker;

    /** Keeps room for large tasks. */
    private final LookAheadPlacement lookAhead;

    /** Decides which waiting step gets a worker first. */
    private final Comparator<WaitingStep> order;

    /** The number of starts in the current pass. */
    private int startCount;

    /**
     * Creates a scheduler for the jobs of a cell.
     *
     * @param context the shared state of the cell's owner
     * @param workerSelector selects workers
     * @param requestSender sends the start requests
     * @param advice holds the tickets for routes that need advice
     * @param crashTracker tells which tasks may crash their workers
     * @param lookAhead keeps room for large tasks
     * @param collector collects the steps that have waiting tasks
     */
    TaskScheduler(
            CellContext context,
            WorkerSelector workerSelector,
            RunRequestSender requestSender,
            AdviceTicketProvider advice,
            CrashTracker crashTracker,
            LookAheadPlacement lookAhead,
            WaitingStepCollector collector) {
        this.context = context;
        this.workerSelector = workerSelector;
        this.requestSender = requestSender;
        this.advice = advice;
        this.crashTracker = crashTracker;
        this.lookAhead = lookAhead;
        this.collector = collector;
        WaitingOrder waitingOrder =
                context.settings.policies().isEnabled(Policy.URGENCY_ORDER)
                        ? new UrgencyOrder()
                        : new ArrivalOrder();
        this.order = Comparator.comparing(WaitingStep::key, new PreferredFirst(waitingOrder));
        this.suspectPlacement = new SuspectPlacement(context, workerSelector, advice);
        this.gangPlacement = new GangPlacement(context, workerSelector, advice);
    }

    /** Runs one pass over all waiting steps. */
    void runPass() {
        startCount = 0;
        suspectPlacement.beginPass();
        List<WaitingStep> waitingSteps = collector.collect();
        context.waitingSteps = waitingSteps.size();
        workerSelector.updateUrgentReserve(collector.urgentMillicores(waitingSteps));
        waitingSteps.sort(order);
        lookAhead.update(
                waitingSteps.stream()
                        .filter(waiting -> waiting.key().rank() == WorkRank.URGENT)
                        .filter(waiting -> waiting.key().lateness() != Lateness.TOO_LATE)
                        .map(WaitingStep::step)
                        .toList(),
                workerSelector);
        for (WaitingStep waiting : waitingSteps) {
            if (startCount >= MAX_STARTS_PER_PASS) {
                return;
            }
            if (waiting.step().spec.gang()) {
                startGang(waiting.step());
            } else {
                startTasks(waiting.step());
            }
        }
    }

    /**
     * Starts the waiting tasks of a step one by one. Tasks that may use no more workers than one
     * that was refused are left out. Suspect tasks are all tried.
     *
     * @param step the step
     */
    private void startTasks(StepRecord step) {
        RefusedTasks refused = new RefusedTasks();
        List<TaskRecord> recorded = RefusedTasks.inStartOrder(waitingTasks(step));
        int fresh = step.freshWaitingCount() == 0 ? step.count() : step.records.nextFresh(0);
        if (fresh == step.count()) {
            startRecorded(step, recorded, refused);
            return;
        }
        int first = RefusedTasks.countBefore(recorded, step.view(fresh));
        startRecorded(step, recorded.subList(0, first), refused);
        startFresh(step, fresh, refused);
        startRecorded(step, recorded.subList(first, recorded.size()), refused);
    }

    /**
     * Starts the waiting tasks of a step that have no record. They are alike, so that the first one
     * that is refused is the last one that is tried.
     *
     * @param step the step
     * @param first the index of the first of them
     * @param refused the tasks of the step that were refused in this pass
     */
    private void startFresh(StepRecord step, int first, RefusedTasks refused) {
        for (int index = first; index < step.count(); index = step.records.nextFresh(index + 1)) {
            TaskRecord task = step.view(index);
            if (step.occurrence.job.state.isFinal() || refused.covers(task)) {
                return;
            }
            if (context.previousOwners.holds(task.id)) {
                step.keep(task);
                continue;
            }
            WorkerRecord worker = workerSelector.selectWorker(task);
            if (worker == null) {
                requestTickets(task);
                refused.add(task);
                return;
            }
            start(step.keep(task), worker);
        }
    }

    /**
     * Starts tasks of a step that have records.
     *
     * @param step the step
     * @param tasks the tasks, in the order in which they are tried
     * @param refused the tasks of the step that were refused in this pass
     */
    private void startRecorded(StepRecord step, List<TaskRecord> tasks, RefusedTasks refused) {
        for (TaskRecord task : tasks) {
            boolean suspect = crashTracker.isSuspect(task);
            if (step.occurrence.job.state.isFinal()) {
                return;
            }
            if (!suspect && refused.covers(task)) {
                continue;
            }
            WorkerRecord worker =
                    suspect
                            ? suspectPlacement.selectWorker(task)
                            : workerSelector.selectWorker(task);
            if (worker == null) {
                requestTickets(task);
                if (!suspect) {
                    refused.add(task);
                }
                continue;
            }
            if (suspect && !crashTracker.isStartRecorded(task, worker)) {
                continue;
            }
            start(task, worker);
        }
    }

    /**
     * Starts a task that is in no gang.
     *
     * @param task the task
     * @param worker the worker
     */
    private void start(TaskRecord task, WorkerRecord worker) {
        requestSender.start(
                task, worker, nextRunNumber(task), advice.usableTicket(task.step, worker));
        crashTracker.onStartSent(task, worker);
        lookAhead.onStarted(task, worker);
        startCount++;
    }

    /**
     * Lists the tasks of a step that have records and may start.
     *
     * @param step the step
     * @return its waiting tasks with records, without those of which an earlier start may still
     *     show
     */
    private List<TaskRecord> waitingTasks(StepRecord step) {
        long now = context.now();
        List<TaskRecord> waiting = new ArrayList<>();
        for (TaskRecord task : step.records) {
            if (collector.mayStart(task, now) && !crashTracker.isOutcomePending(task)) {
                waiting.add(task);
            }
        }
        return waiting;
    }

    /**
     * Starts all members of a gang at once, or none if not all of them wait and have a worker.
     *
     * @param step the step of the gang
     */
    private void startGang(StepRecord step) {
        long now = context.now();
        if (step.freshWaitingCount() + step.records.recordCount() < step.count()) {
            return;
        }
        for (TaskRecord task : step.records) {
            if (!collector.mayStart(task, now) || crashTracker.isOutcomePending(task)) {
                return;
            }
        }
        step.records.forEach(crashTracker::settleStart);
        List<WorkerRecord> workers = gangPlacement.selectWorkers(step);
        if (workers.isEmpty()) {
            requestTickets(step.view(0));
            return;
        }
        List<TaskRecord> members = step.allTasks();
        if (!areStartsRecorded(members, workers)) {
            return;
        }
        int runNumber = members.stream().mapToInt(this::nextRunNumber).max().orElseThrow();
        for (int index = 0; index < workers.size(); index++) {
            WorkerRecord worker = workers.get(index);
            requestSender.start(
                    members.get(index), worker, runNumber, advice.usableTicket(step, worker));
            crashTracker.onStartSent(members.get(index), worker);
            startCount++;
        }
    }

    /**
     * Records the starts of the suspect members of a gang.
     *
     * @param tasks the members
     * @param workers the worker of each member
     * @return whether all records are stored, so that the gang may start
     */
    private boolean areStartsRecorded(List<TaskRecord> tasks, List<WorkerRecord> workers) {
        boolean recorded = true;
        for (int index = 0; index < workers.size(); index++) {
            TaskRecord task = tasks.get(index);
            if (crashTracker.isSuspect(task)) {
                recorded &= crashTracker.isStartRecorded(task, workers.get(index));
            }
        }
        return recorded;
    }

    /**
     * Requests tickets for the step of a task if its route needs them.
     *
     * @param task the task, for which no worker was found
     */
    private void requestTickets(TaskRecord task) {
        if (advice.isRequired(task.step)) {
            advice.request(task.step, worker -> workerSelector.isEligible(task, worker, false));
        }
    }

    /**
     * Returns the number of the next run of a task.
     *
     * @param task the task
     * @return the number, higher than those that any previous owner has used
     */
    private int nextRunNumber(TaskRecord task) {
        int base = task.runNumberOffset + context.term.runNumberBase();
        return Math.max(task.highestRunNumber, base) + 1;
    }
}
