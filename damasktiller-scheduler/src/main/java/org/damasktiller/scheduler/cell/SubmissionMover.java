package org.damasktiller.scheduler.cell;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.damasktiller.scheduler.cell.RoomReader.PublishedRoom;
import org.damasktiller.scheduler.model.PartsRecord;
import org.damasktiller.scheduler.placement.IdleCell;
import org.damasktiller.scheduler.placement.WorkerRoom;
import org.damasktiller.scheduler.policy.Policy;
import org.damasktiller.scheduler.port.StoreItem;
import org.damasktiller.scheduler.port.StoreReading;
import org.damasktiller.scheduler.port.StoreResult;
import org.damasktiller.scheduler.port.StoreStatus;
import org.jspecify.annotations.Nullable;

/**
 * Moves submissions of which nothing runs and some task waits in vain to a cell with idle workers,
 * one at a time.
 *
 * <p>Load pattern: fillers and short tasks of a cell that long-running tasks fill.
 */
final class SubmissionMover {

    /** How long a submission waits without a run before it moves, in milliseconds. */
    private static final long WAIT_MILLIS = 2_000;

    /**
     * How long fillers wait in a cell of which less than half is reserved, in milliseconds, which
     * is longer than it takes until they may start there.
     */
    private static final long IDLE_CELL_WAIT_MILLIS = 3_000;

    /** How long a submission stays in the cell that it came to, in milliseconds. */
    private static final long STAY_MILLIS = 5_000;

    /** The fraction of the reserved CPU from which on a cell is crowded. */
    private static final double CROWDED_FRACTION = 0.5;

    /** The time between two looks for submissions that wait, in milliseconds. */
    private static final long LOOK_INTERVAL_MILLIS = 250;

    /** The pause after an attempt that moved nothing, in milliseconds. */
    private static final long PAUSE_MILLIS = 1_000;

    /** The shared state of the cell's owner. */
    private final CellContext context;

    /** Stores the moves. */
    private final CommitQueue commits;

    /** Tells up to which store revision this owner is verified to own the cell. */
    private final OwnershipVerifier ownership;

    /** Called for a submission that was cancelled while it was about to move. */
    private final Consumer<Job> onCancelled;

    /** Reads the room of the other cells. */
    private final RoomReader rooms;

    /** Whether submissions may move at all. */
    private final boolean enabled;

    /** Since when submissions have waited, in milliseconds, by identifier. */
    private Map<String, Long> waitingSince = new HashMap<>();

    /** The room of other cells that submissions have got a short time ago. */
    private final RoomClaims claims = new RoomClaims();

    /** When submissions that wait are looked for again, in milliseconds. */
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
     * @param onCancelled called for a submission that was cancelled while it was about to move
     */
    SubmissionMover(
            CellContext context,
            CommitQueue commits,
            OwnershipVerifier ownership,
            Consumer<Job> onCancelled) {
        this.context = context;
        this.commits = commits;
        this.ownership = ownership;
        this.onCancelled = onCancelled;
        this.rooms = new RoomReader(context);
        this.enabled =
                !context.siblingCells.isEmpty()
                        && context.settings.policies().isEnabled(Policy.TASK_MOVES);
    }

    /** Looks for submissions that wait in vain, and begins to move one of them. */
    void update() {
        long now = context.now();
        if (!enabled || busy || now < nextLookMillis) {
            return;
        }
        nextLookMillis = now + LOOK_INTERVAL_MILLIS;
        if (!context.previousOwners.areFenced()) {
            return;
        }
        boolean crowded = isCrowded();
        Map<String, Long> stillWaiting = new HashMap<>();
        List<Job> due = new ArrayList<>();
        for (Job job : context.jobs.values()) {
            StepRecord step = findWaitingStep(job);
            if (step != null) {
                long since = waitingSince.getOrDefault(job.id(), now);
                stillWaiting.put(job.id(), since);
                if (now - since >= neededMillis(step, crowded)) {
                    due.add(job);
                }
            }
        }
        waitingSince = stillWaiting;
        if (!due.isEmpty() && now >= nextAttemptMillis) {
            busy = true;
            due.sort(Comparator.comparing(job -> stillWaiting.get(job.id())));
            rooms.read(found -> chooseJob(due, found), () -> endAttempt(PAUSE_MILLIS));
        }
    }

    /**
     * Returns whether at least half of the CPU of the workers that may get starts is reserved.
     *
     * @return whether it is, or there is no such worker
     */
    private boolean isCrowded() {
        long capacity = 0;
        long reserved = 0;
        for (WorkerRecord worker : context.allWorkers()) {
            if (context.mayStartOn(worker, context.now())) {
                capacity += worker.entry.capacity().cpuMillicores();
                reserved += worker.reserved.cpuMillicores();
            }
        }
        return reserved >= CROWDED_FRACTION * capacity;
    }

    /**
     * Finds the first step of a submission that waits, if the submission may move.
     *
     * @param job the job
     * @return the step, or null if nothing waits or the submission must stay
     */
    private @Nullable StepRecord findWaitingStep(Job job) {
        long now = context.now();
        if (!ownership.covers(job.openRevision)
                || SubmissionMove.findObstacle(job, context.previousOwners) != MoveObstacle.NONE) {
            return null;
        }
        for (OccurrenceRecord occurrence : job.occurrences.values()) {
            for (StepRecord step : occurrence.steps) {
                if (step.areDependenciesDone() && step.firstWaiting(now) != null) {
                    return step;
                }
            }
        }
        return null;
    }

    /**
     * Returns how long a submission must have waited before it moves.
     *
     * @param step the step that waits
     * @param crowded whether the cell is crowded
     * @return the time, in milliseconds
     */
    private static long neededMillis(StepRecord step, boolean crowded) {
        if (step.occurrence.job.part != null) {
            return STAY_MILLIS;
        }
        return step.spec.filling() && !crowded ? IDLE_CELL_WAIT_MILLIS : WAIT_MILLIS;
    }

    /**
     * Chooses the submission that has waited for longest of those for which a cell has room.
     *
     * @param due the submissions, the one that has waited for longest first
     * @param found what the other cells have published, by the name of the cell
     */
    private void chooseJob(List<Job> due, Map<String, PublishedRoom> found) {
        for (Job job : due) {
            StepRecord step = context.jobs.get(job.id()) == job ? findWaitingStep(job) : null;
            String target = step == null ? null : chooseCell(step, found);
            PublishedRoom room = target == null ? null : found.get(target);
            if (step != null && target != null && room != null) {
                hold(job, true);
                readParts(step, target, room.ownerRevision());
                return;
            }
        }
        endAttempt(PAUSE_MILLIS);
    }

    /**
     * Chooses the cell to which the submission of a step may move.
     *
     * @param step the step that waits
     * @param found what the other cells have published, by the name of the cell
     * @return the name of the cell, or null if none has room
     */
    private @Nullable String chooseCell(StepRecord step, Map<String, PublishedRoom> found) {
        Map<String, List<WorkerRoom>> idleRooms = new HashMap<>();
        found.forEach(
                (cell, room) -> {
                    List<WorkerRoom> idle = room.record().idleRooms();
                    if (idle != null
                            && claims.allow(cell, idle, waitingMillicores(step), context.now())) {
                        idleRooms.put(cell, idle);
                    }
                });
        return IdleCell.choose(step.spec, idleRooms);
    }

    /**
     * Returns the CPU that the tasks of a step need that are not done.
     *
     * @param step the step
     * @return the CPU, in millicores
     */
    private static long waitingMillicores(StepRecord step) {
        return (step.count() - step.doneCount) * step.spec.need().cpuMillicores();
    }

    /**
     * Keeps the tasks of a submission from starting while it is about to move, or ends that.
     *
     * @param job the job
     * @param held whether they must not start
     */
    private static void hold(Job job, boolean held) {
        job.departing = held;
        for (OccurrenceRecord occurrence : job.occurrences.values()) {
            occurrence.steps.forEach(step -> step.allTasks().forEach(task -> task.moving = held));
        }
    }

    /**
     * Reads the record of the submission's parts, and queues the move.
     *
     * @param step the step that waits
     * @param target the name of the cell to move to
     * @param ownerRevision the revision of the key of that cell's owner
     */
    private void readParts(StepRecord step, String target, long ownerRevision) {
        Job job = step.occurrence.job;
        context.store.read(
                CellKeys.parts(job.id()),
                result -> {
                    if (context.ended) {
                        return;
                    }
                    MoveListener listener = new MoveListener(step, target);
                    if (isExpected(job, result)) {
                        StoreItem item = job.part == null ? null : result.require().item();
                        commits.enqueueMove(
                                new SubmissionMove(
                                        context,
                                        job,
                                        target,
                                        ownerRevision,
                                        item == null ? StoreItem.ABSENT : item.revision(),
                                        listener));
                    } else {
                        listener.onRefused("its parts can't be read: " + result.status());
                    }
                });
    }

    /**
     * Returns whether the record of a submission's parts says that all tasks are at home here.
     *
     * @param job the job
     * @param result the reading of the record
     * @return whether there is none and the submission has never moved, or it names this cell only
     */
    private boolean isExpected(Job job, StoreResult<StoreReading> result) {
        if (job.part == null) {
            return result.status() == StoreStatus.ABSENT;
        }
        StoreItem item = result.status() == StoreStatus.OK ? result.require().item() : null;
        PartsRecord parts =
                item == null ? null : StoredValueCodec.decode(item.value(), PartsRecord.class);
        return parts != null && parts.allCells().equals(List.of(context.cell));
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

    /** Ends the attempt with the outcome of its transaction. */
    private final class MoveListener implements SubmissionMove.Listener {

        /** The job to move. */
        private final Job job;

        /** The CPU that its tasks need whose turn has come, in millicores. */
        private final long millicores;

        /** The name of the cell. */
        private final String target;

        /**
         * Creates a listener.
         *
         * @param step the step that waits, of the job to move
         * @param target the name of the cell
         */
        private MoveListener(StepRecord step, String target) {
            this.job = step.occurrence.job;
            this.millicores = waitingMillicores(step);
            this.target = target;
        }

        @Override
        public void onMoved() {
            log("submission.moved", "no worker of its cell takes it");
            commits.discard(job);
            claims.add(target, millicores, context.now());
            endAttempt(0);
        }

        @Override
        public void onRefused(String reason) {
            log("submission.stayed", reason);
            hold(job, false);
            if (job.removedWhileDeparting && !job.state.isFinal()) {
                onCancelled.accept(job);
            }
            endAttempt(PAUSE_MILLIS);
        }

        /**
         * Logs the outcome.
         *
         * @param event the name of the event
         * @param reason why
         */
        private void log(String event, String reason) {
            context.log.log(
                    event,
                    "id",
                    job.id(),
                    "from",
                    context.cell,
                    "to",
                    target,
                    "waited",
                    context.now() - waitingSince.getOrDefault(job.id(), context.now()),
                    "why",
                    reason);
        }
    }
}
