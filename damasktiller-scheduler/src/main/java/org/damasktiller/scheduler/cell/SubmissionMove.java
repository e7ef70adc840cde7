package org.damasktiller.scheduler.cell;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.damasktiller.scheduler.crash.RecordedStart;
import org.damasktiller.scheduler.model.MovedTask;
import org.damasktiller.scheduler.model.PartsRecord;
import org.damasktiller.scheduler.model.SubmissionPart;
import org.damasktiller.scheduler.port.StoreItem;
import org.damasktiller.scheduler.port.StoreTransaction;

/**
 * A move of a whole submission, with its progress, to another cell. Its transaction removes the
 * entry of the submission here and adds one there, on condition that neither the submission nor
 * what is known of its parts has changed, and that the other cell has the owner that was asked.
 */
final class SubmissionMove implements PendingMove {

    /** The shared state of the owner of the cell that the submission leaves. */
    private final CellContext context;

    /** The job in that cell. */
    private final Job job;

    /** The name of the cell that the submission moves to. */
    private final String target;

    /** The revision of the key of that cell's owner. */
    private final long targetOwnerRevision;

    /** The revision of the record of the submission's parts, or {@link StoreItem#ABSENT}. */
    private final long partsRevision;

    /** Called with the outcome. */
    private final Listener listener;

    /**
     * Creates a move.
     *
     * @param context the shared state of the owner of the cell that the submission leaves
     * @param job the job in that cell
     * @param target the name of the cell that the submission moves to
     * @param targetOwnerRevision the revision of the key of that cell's owner
     * @param partsRevision the revision of the record of the submission's parts, or {@link
     *     StoreItem#ABSENT}
     * @param listener called with the outcome
     */
    SubmissionMove(
            CellContext context,
            Job job,
            String target,
            long targetOwnerRevision,
            long partsRevision,
            Listener listener) {
        this.context = context;
        this.job = job;
        this.target = target;
        this.targetOwnerRevision = targetOwnerRevision;
        this.partsRevision = partsRevision;
        this.listener = listener;
    }

    /**
     * Returns why a submission as a whole has to stay in its cell, apart from whether it waits. It
     * may move if none of its runs is active, the store has all of its progress, and no start of a
     * suspect task is recorded whose outcome may be open.
     *
     * @param job the job
     * @param previousOwners what earlier owners of the cell may still run
     * @return the reason, or {@link MoveObstacle#NONE} if another owner could go on with it
     */
    static MoveObstacle findObstacle(Job job, PreviousOwners previousOwners) {
        SubmissionPart part = job.partOrWhole();
        if (job.state.isFinal()) {
            return MoveObstacle.OVER;
        }
        if (job.isHeldBack()) {
            return MoveObstacle.HELD_BACK;
        }
        if (job.removedWhileDeparting) {
            return MoveObstacle.REMOVED;
        }
        if (job.runCount > 0) {
            return MoveObstacle.ACTIVE_RUN;
        }
        if (job.blocks != null) {
            return MoveObstacle.DIVIDED_PROGRESS;
        }
        if (!job.isStored(job.version)) {
            return MoveObstacle.PROGRESS_NOT_STORED;
        }
        if (!part.first() || !part.departed().isEmpty()) {
            return MoveObstacle.PARTS_ELSEWHERE;
        }
        return first(
                job.occurrences.values().stream()
                        .flatMap(occurrence -> occurrence.steps.stream())
                        .map(step -> findObstacle(step, previousOwners)));
    }

    /**
     * Returns why a step keeps its submission in its cell.
     *
     * @param step the step
     * @param previousOwners what earlier owners of the cell may still run
     * @return the reason, or {@link MoveObstacle#NONE} if the step may move
     */
    private static MoveObstacle findObstacle(StepRecord step, PreviousOwners previousOwners) {
        if (step.spec.lasting()) {
            return MoveObstacle.LONG_RUNNING_TASKS;
        }
        if (step.isDone()) {
            return MoveObstacle.NONE;
        }
        return first(step.records.stream().map(task -> findObstacle(task, previousOwners)));
    }

    /**
     * Returns the first obstacle of several.
     *
     * @param obstacles the obstacles
     * @return the first one that is one, or {@link MoveObstacle#NONE}
     */
    private static MoveObstacle first(Stream<MoveObstacle> obstacles) {
        return obstacles
                .filter(obstacle -> obstacle != MoveObstacle.NONE)
                .findFirst()
                .orElse(MoveObstacle.NONE);
    }

    /**
     * Returns why a task keeps its submission in its cell.
     *
     * @param task the task
     * @param previousOwners what earlier owners of the cell may still run
     * @return the reason, or {@link MoveObstacle#NONE} if the task may move
     */
    private static MoveObstacle findObstacle(TaskRecord task, PreviousOwners previousOwners) {
        if (task.done) {
            return MoveObstacle.NONE;
        }
        if (!task.runs.isEmpty()) {
            return MoveObstacle.ACTIVE_RUN;
        }
        if (previousOwners.holds(task.id)) {
            return MoveObstacle.RUN_OF_PREVIOUS_OWNER;
        }
        RecordedStart start = task.recordedStart;
        return start == null || !start.sent() ? MoveObstacle.NONE : MoveObstacle.RECORDED_START;
    }

    @Override
    public boolean isPossible() {
        return findObstacle(job, context.previousOwners) == MoveObstacle.NONE;
    }

    @Override
    public void addTo(StoreTransaction commit) {
        String id = job.id();
        String entry = CellKeys.openSubmissionsPrefix(context.cell) + id;
        String targetEntry = CellKeys.openSubmissionsPrefix(target) + id;
        SubmissionPart part =
                new SubmissionPart(true, job.recordRevision, List.of(), arrivingTasks());
        commit.expectRevision(entry, job.openRevision);
        commit.remove(entry);
        commit.expectRevision(targetEntry, StoreItem.ABSENT);
        commit.put(targetEntry, new PartEncoder(context.settings.valueBytes()).encode(job, part));
        commit.expectRevision(CellKeys.submission(id), job.recordRevision);
        commit.expectRevision(CellKeys.parts(id), partsRevision);
        commit.put(CellKeys.parts(id), StoredValueCodec.encode(new PartsRecord(target, Map.of())));
        commit.expectRevision(CellKeys.owner(target), targetOwnerRevision);
        if (job.progressStored) {
            commit.remove(CellKeys.progressPrefix(context.cell) + id);
            commit.put(
                    CellKeys.progressPrefix(target) + id,
                    new ProgressEncoder(context.settings.valueBytes()).encode(job, part));
        }
    }

    /**
     * Lists the tasks whose turn has come, also those that are done. Those of later steps have
     * never run, so that the new home need not know more of them than the submission says.
     *
     * @return the records of the tasks
     */
    private List<MovedTask> arrivingTasks() {
        List<MovedTask> arriving = new ArrayList<>();
        for (OccurrenceRecord occurrence : job.occurrences.values()) {
            for (StepRecord step : occurrence.steps) {
                if (step.areDependenciesDone()) {
                    step.allTasks().forEach(task -> arriving.add(task.toMovedTask(context.term)));
                }
            }
        }
        return arriving;
    }

    @Override
    public void onStored(long revision) {
        context.removeDeparted(job, revision);
        listener.onMoved();
    }

    @Override
    public void onRefused(String reason) {
        listener.onRefused(reason);
    }

    /** Called with the outcome of a move. */
    interface Listener {

        /** Called when the submission has its home in the other cell. */
        void onMoved();

        /**
         * Called when the submission stays.
         *
         * @param reason why, for the log
         */
        void onRefused(String reason);
    }
}
