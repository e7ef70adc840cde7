package org.damasktiller.scheduler.cell;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.damasktiller.scheduler.cell.RoomReader.PublishedRoom;
import org.damasktiller.scheduler.model.PartsRecord;
import org.damasktiller.scheduler.model.TaskId;
import org.damasktiller.scheduler.placement.MoveTarget;
import org.damasktiller.scheduler.policy.Policy;
import org.damasktiller.scheduler.port.StoreItem;
import org.damasktiller.scheduler.port.StoreReading;
import org.damasktiller.scheduler.port.StoreResult;
import org.damasktiller.scheduler.port.StoreStatus;
import org.jspecify.annotations.Nullable;

/**
 * Moves long-running tasks that wait in vain to another cell of their service, one move at a time.
 *
 * <p>Load pattern: steps that need more workers than their cell has.
 */
final class TaskMover {

    /** How long a task waits for a worker of its cell before it moves, in milliseconds. */
    private static final long WAIT_MILLIS = 2_000;

    /** How long a task stays in the cell that it came to, in milliseconds. */
    private static final long STAY_MILLIS = 5_000;

    /** The time between two looks for tasks that wait, in milliseconds. */
    private static final long LOOK_INTERVAL_MILLIS = 250;

    /** The pause after an attempt that moved nothing, in milliseconds. */
    private static final long PAUSE_MILLIS = 1_000;

    /**
     * How long a cell that got tasks is left out, in milliseconds, which is longer than it takes
     * until its owner has published the room that is left.
     */
    private static final long TARGET_PAUSE_MILLIS = 2_000;

    /** The most cells over which the tasks of a submission spread, which bounds transactions. */
    private static final int MAX_CELLS = 8;

    /** The most tasks of a move. */
    private static final int MAX_TASKS = 64;

    /** The shared state of the cell's owner. */
    private final CellContext context;

    /** Stores the moves. */
    private final CommitQueue commits;

    /** Tells up to which store revision this owner is verified to own the cell. */
    private final OwnershipVerifier ownership;

    /** Reads the room of the other cells. */
    private final RoomReader rooms;

    /** Whether tasks may move at all. */
    private final boolean enabled;

    /** Since when tasks have waited, in milliseconds. */
    private Map<TaskId, Long> waitingSince = new HashMap<>();

    /** Since when the tasks without a record have waited, in milliseconds, by their step. */
    private Map<StepRecord, Long> freshWaitingSince = new HashMap<>();

    /** Until when cells are left out, in milliseconds, by the name of the cell. */
    private final Map<String, Long> pausedUntilMillis = new HashMap<>();

    /** When tasks that wait are looked for again, in milliseconds. */
    private long nextLookMillis;

    /** When the next attempt may begin, in milliseconds. */
    private long nextAttemptMillis;

    /** Whether an attempt is in progress. */
    private boolean busy;

    /**
     * Creates a mover.
     *
     * @param context the shared state of the cell's owner
     * @param commits stores the moves
     * @param ownership tells up to which store revision this owner is verified to own the cell
     */
    TaskMover(CellContext context, CommitQueue commits, OwnershipVerifier ownership) {
        this.context = context;
        this.commits = commits;
        this.ownership = ownership;
        this.rooms = new RoomReader(context);
        this.enabled =
                !context.siblingCells.isEmpty()
                        && context.settings.policies().isEnabled(Policy.TASK_MOVES);
    }

    /** Looks for tasks that wait in vain, and begins to move those of one step. */
    void update() {
        long now = context.now();
        if (!enabled || busy || now < nextLookMillis) {
            return;
        }
        nextLookMillis = now + LOOK_INTERVAL_MILLIS;
        if (!context.previousOwners.areFenced()) {
            return;
        }
        Map<TaskId, Long> stillWaiting = new HashMap<>();
        Map<StepRecord, Long> freshStillWaiting = new HashMap<>();
        List<TaskRecord> due = new ArrayList<>();
        for (Job job : context.jobs.values()) {
            if (mayMove(job)) {
                collect(job, now, stillWaiting, freshStillWaiting, due);
            }
        }
        waitingSince = stillWaiting;
        freshWaitingSince = freshStillWaiting;
        if (!due.isEmpty()
                && now >= nextAttemptMillis
                && ownership.covers(due.get(0).step.occurrence.job.openRevision)) {
            busy = true;
            due.forEach(task -> task.moving = true);
            rooms.read(
                    found -> readParts(due, found), () -> giveUp(due, "the store does not answer"));
        }
    }

    /**
     * Returns whether waiting tasks of a job may move.
     *
     * @param job the job
     * @return whether it is open, not held back, and it has no occurrences
     */
    private boolean mayMove(Job job) {
        return !job.state.isFinal() && !job.isHeldBack() && !job.accepted.submission().scheduled();
    }

    /**
     * Collects the tasks of a job that wait, and those of the first step that should move.
     *
     * @param job the job
     * @param now the current time, in milliseconds
     * @param stillWaiting receives the tasks with a record that wait, with the time since when
     * @param freshStillWaiting receives the steps of which tasks without a record wait, with the
     *     time since when
     * @param due receives the tasks that should move, all of one step
     */
    private void collect(
            Job job,
            long now,
            Map<TaskId, Long> stillWaiting,
            Map<StepRecord, Long> freshStillWaiting,
            List<TaskRecord> due) {
        for (OccurrenceRecord occurrence : job.occurrences.values()) {
            for (StepRecord step : occurrence.steps) {
                boolean divisible = step.spec.lasting() && !step.spec.gang();
                if (!divisible || !step.areDependenciesDone()) {
                    continue;
                }
                long freshSince = freshWaitingSince.getOrDefault(step, now);
                for (TaskRecord task : step.records) {
                    if (waitsSafely(task, now)) {
                        long since =
                                waitingSince.getOrDefault(
                                        task.id, task.hasBegun() ? now : freshSince);
                        stillWaiting.put(task.id, since);
                        if (joins(due, step) && now - since >= neededMillis(task)) {
                            due.add(task);
                        }
                    }
                }
                if (step.freshWaitingCount() > 0) {
                    freshStillWaiting.put(step, freshSince);
                    collectFresh(step, now - freshSince, stillWaiting, due);
                }
            }
        }
    }

    /**
     * Collects the tasks of a step that wait and have no record. Those that should move get one.
     *
     * @param step the step
     * @param waitedMillis for how long they have waited, in milliseconds
     * @param stillWaiting receives those that should move, with the time since when they wait
     * @param due receives the tasks that should move, all of one step
     */
    private void collectFresh(
            StepRecord step,
            long waitedMillis,
            Map<TaskId, Long> stillWaiting,
            List<TaskRecord> due) {
        if (waitedMillis < WAIT_MILLIS) {
            return;
        }
        int index = step.records.nextFresh(0);
        while (index < step.count() && joins(due, step)) {
            TaskRecord task = step.task(index);
            stillWaiting.put(task.id, context.now() - waitedMillis);
            due.add(task);
            index = step.records.nextFresh(index + 1);
        }
    }

    /**
     * Returns whether a task of a step may join the tasks of a move.
     *
     * @param due the tasks of the move so far
     * @param step the step
     * @return whether they are of the same step and not too many
     */
    private static boolean joins(List<TaskRecord> due, StepRecord step) {
        return due.isEmpty() || (due.get(0).step == step && due.size() < MAX_TASKS);
    }

    /**
     * Returns how long a task must have waited before it moves.
     *
     * @param task the task
     * @return the time, in milliseconds
     */
    private static long neededMillis(TaskRecord task) {
        return task.arrived ? STAY_MILLIS : WAIT_MILLIS;
    }

    /**
     * Returns whether a task waits, none of its runs can be active, and what they did to their
     * workers is known.
     *
     * @param task the task
     * @param now the current time, in milliseconds
     * @return whether another owner could start it now
     */
    private boolean waitsSafely(TaskRecord task, long now) {
        return task.isWaiting(now)
                && !context.previousOwners.holds(task.id)
                && (task.recordedStart == null || !task.recordedStart.sent());
    }

    /**
     * Passes the value of a call on, or ends the attempt if there is none.
     *
     * @param result the result of the call
     * @param tasks the tasks to move
     * @param next receives the value
     * @param <T> the type of the value
     */
    private <T> void ifOk(StoreResult<T> result, List<TaskRecord> tasks, Consumer<T> next) {
        if (context.ended) {
            return;
        }
        if (result.status() == StoreStatus.OK) {
            next.accept(result.require());
        } else {
            giveUp(tasks, "the store does not answer");
        }
    }

    /**
     * Reads which cells have parts of the submission.
     *
     * @param tasks the tasks to move
     * @param rooms what the other cells have published, by the name of the cell
     */
    private void readParts(List<TaskRecord> tasks, Map<String, PublishedRoom> rooms) {
        Job job = tasks.get(0).step.occurrence.job;
        context.store.read(CellKeys.parts(job.id()), result -> onParts(tasks, rooms, result));
    }

    /**
     * Chooses a target once it is known which cells have parts of the submission.
     *
     * @param tasks the tasks to move
     * @param rooms what the other cells have published, by the name of the cell
     * @param result the reading of the record of its parts
     */
    private void onParts(
            List<TaskRecord> tasks,
            Map<String, PublishedRoom> rooms,
            StoreResult<StoreReading> result) {
        if (context.ended) {
            return;
        }
        Job job = tasks.get(0).step.occurrence.job;
        if (result.status() == StoreStatus.ABSENT && job.part == null) {
            chooseTarget(tasks, rooms, new PartsRecord(context.cell, Map.of()), StoreItem.ABSENT);
            return;
        }
        StoreItem item = result.status() == StoreStatus.OK ? result.require().item() : null;
        PartsRecord parts =
                item == null ? null : StoredValueCodec.decode(item.value(), PartsRecord.class);
        if (item == null || parts == null) {
            giveUp(tasks, "the record of its parts can't be read: " + result.status());
        } else {
            chooseTarget(tasks, rooms, parts, item.revision());
        }
    }

    /**
     * Chooses the cell to move to, and reads the entry of the submission there.
     *
     * @param tasks the tasks to move
     * @param rooms what the other cells have published, by the name of the cell
     * @param parts the cells that have parts of the submission
     * @param partsRevision the revision of that record, or {@link StoreItem#ABSENT}
     */
    private void chooseTarget(
            List<TaskRecord> tasks,
            Map<String, PublishedRoom> rooms,
            PartsRecord parts,
            long partsRevision) {
        if (context.ended) {
            return;
        }
        StepRecord step = tasks.get(0).step;
        boolean full = parts.allCells().size() >= MAX_CELLS;
        List<MoveTarget.Candidate> candidates = new ArrayList<>();
        for (String cell : context.siblingCells) {
            PublishedRoom room = rooms.get(cell);
            boolean paused = context.now() < pausedUntilMillis.getOrDefault(cell, 0L);
            if (room != null && !paused && (!full || parts.allCells().contains(cell))) {
                candidates.add(
                        new MoveTarget.Candidate(
                                cell,
                                room.record().rooms(),
                                room.record()
                                        .slotsTaken(
                                                step.name(),
                                                parts.countTasks(
                                                        cell, step.number, step.count()))));
            }
        }
        MoveTarget target = MoveTarget.choose(step.spec, candidates);
        if (target == null) {
            giveUp(tasks, "no other cell has room");
            return;
        }
        int count = Math.min(tasks.size(), target.tasks());
        release(tasks.subList(count, tasks.size()));
        List<TaskRecord> chosen = List.copyOf(tasks.subList(0, count));
        String key = CellKeys.openSubmissionsPrefix(target.cell()) + step.occurrence.job.id();
        context.store.read(
                key,
                result -> {
                    if (result.status() == StoreStatus.ABSENT) {
                        enqueue(chosen, target.cell(), parts, partsRevision, null);
                    } else {
                        ifOk(
                                result,
                                chosen,
                                reading ->
                                        enqueue(
                                                chosen,
                                                target.cell(),
                                                parts,
                                                partsRevision,
                                                reading));
                    }
                });
    }

    /**
     * Queues the transaction of a move.
     *
     * @param tasks the tasks to move
     * @param target the name of the cell
     * @param parts the cells that have parts of the submission
     * @param partsRevision the revision of that record, or {@link StoreItem#ABSENT}
     * @param targetEntry the entry of the submission in the cell, or null if there is none
     */
    private void enqueue(
            List<TaskRecord> tasks,
            String target,
            PartsRecord parts,
            long partsRevision,
            @Nullable StoreReading targetEntry) {
        if (context.ended) {
            return;
        }
        TaskMove move =
                TaskMove.create(
                        context,
                        tasks,
                        target,
                        parts,
                        partsRevision,
                        targetEntry == null ? null : targetEntry.item(),
                        new MoveListener(tasks, target));
        if (move == null) {
            giveUp(tasks, "its entry in the other cell can't be read");
        } else {
            commits.enqueueMove(move);
        }
    }

    /**
     * Ends an attempt that moves nothing.
     *
     * @param tasks the tasks that stay
     * @param reason why, for the log
     */
    private void giveUp(List<TaskRecord> tasks, String reason) {
        log("task.stayed", tasks, "", reason);
        release(tasks);
        endAttempt(PAUSE_MILLIS);
    }

    /**
     * Lets tasks start in this cell again.
     *
     * @param tasks the tasks
     */
    private static void release(List<TaskRecord> tasks) {
        tasks.forEach(task -> task.moving = false);
    }

    /**
     * Allows the next attempt after a pause.
     *
     * @param pauseMillis the pause, in milliseconds
     */
    private void endAttempt(long pauseMillis) {
        busy = false;
        nextAttemptMillis = context.now() + pauseMillis;
    }

    /**
     * Logs a decision on tasks of one step: one line for each task that moves, one for the step
     * otherwise.
     *
     * @param event the name of the event
     * @param tasks the tasks
     * @param target the name of the other cell, empty for none
     * @param reason why
     */
    private void log(String event, List<TaskRecord> tasks, String target, String reason) {
        List<TaskRecord> named = target.isEmpty() ? tasks.subList(0, 1) : tasks;
        for (TaskRecord task : named) {
            context.log.log(
                    event,
                    "task",
                    task.id,
                    "from",
                    context.cell,
                    "to",
                    target,
                    "tasks",
                    tasks.size(),
                    "waited",
                    context.now() - waitingSince.getOrDefault(task.id, context.now()),
                    "why",
                    reason);
        }
    }

    /** Ends the attempt with the outcome of its transaction. */
    private final class MoveListener implements TaskMove.Listener {

        /** The tasks to move. */
        private final List<TaskRecord> tasks;

        /** The name of the cell. */
        private final String target;

        /**
         * Creates a listener.
         *
         * @param tasks the tasks to move
         * @param target the name of the cell
         */
        private MoveListener(List<TaskRecord> tasks, String target) {
            this.tasks = tasks;
            this.target = target;
        }

        @Override
        public void onMoved() {
            log("task.moved", tasks, target, "no worker of its cell takes it");
            release(tasks);
            ownership.verify();
            pausedUntilMillis.put(target, context.now() + TARGET_PAUSE_MILLIS);
            endAttempt(0);
        }

        @Override
        public void onRefused(String reason) {
            giveUp(tasks, reason);
        }
    }
}
