package org.damasktiller.scheduler.cell;

import java.util.BitSet;
import java.util.HashSet;
import java.util.List;
import java.util.NavigableMap;
import java.util.Set;
import java.util.TreeMap;
import org.damasktiller.scheduler.model.AcceptedSubmission;
import org.damasktiller.scheduler.model.MovedTask;
import org.damasktiller.scheduler.model.PartsRecord;
import org.damasktiller.scheduler.model.QueueTerms;
import org.damasktiller.scheduler.model.Route;
import org.damasktiller.scheduler.model.Submission;
import org.damasktiller.scheduler.model.SubmissionPart;
import org.damasktiller.scheduler.model.SubmissionState;
import org.damasktiller.scheduler.model.TaskId;
import org.jspecify.annotations.Nullable;

/** An accepted submission and its progress, in the memory of the owner of its cell. */
public final class Job {

    /** Stands for no occurrence. */
    static final int NO_OCCURRENCE = -1;

    /** A version that is never stored. */
    static final long NEVER_STORED = Long.MAX_VALUE;

    /** The submission, its route and its service as they are stored. */
    final AcceptedSubmission accepted;

    /** The store revision at which the submission was stored. */
    final long createdRevision;

    /** The revision of the submission's record, on which its final state depends. */
    final long recordRevision;

    /** The store revision of the submission's entry in the cell, as of the last reading. */
    long openRevision;

    /** The length of the submission's entry in the cell when it was read first, in bytes. */
    int entryBytes;

    /** The memory that the submission was estimated to take when it was loaded, in bytes. */
    long estimatedBytes;

    /** The tasks that have their home in the cell, or null if no task has ever moved. */
    @Nullable SubmissionPart part;

    /** The cells that have parts, or null if they are not known. */
    @Nullable PartsRecord parts;

    /** The revision of the record of these cells. */
    long partsRevision;

    /** The occurrences that have begun and are not released, by number. */
    final NavigableMap<Integer, OccurrenceRecord> occurrences = new TreeMap<>();

    /** The numbers of the occurrences that are done and may be released. */
    final BitSet endedOccurrences = new BitSet();

    /** The identifiers of the workers on which a run failed. */
    final Set<String> failedWorkerIds = new HashSet<>(2);

    /** The number of runs of its tasks that are or may be active. */
    int runCount;

    /**
     * When a pass first found the job without runs since its last run, in milliseconds, or 0 if
     * none has.
     */
    long idleSinceMillis;

    /** The occurrence from which on the next pass collects waiting steps. */
    int nextCollectedOccurrence;

    /** The step of that occurrence from which on it does so. */
    int nextCollectedStep;

    /** The current state; a final state may not be stored yet. */
    SubmissionState state = SubmissionState.QUEUED;

    /** The version of the job, raised by each change that has to be stored. */
    long version;

    /** The highest version that is known to be stored. */
    long committedVersion;

    /** Whether no change of the job has to be stored any more, since it has been cancelled. */
    boolean discarded;

    /** Whether the job is about to move to another cell, so that its entry here is removed. */
    boolean departing;

    /** Whether its entry was removed while it was about to move. */
    boolean removedWhileDeparting;

    /** Whether the store has a progress record of the job. */
    boolean progressStored;

    /**
     * Whether the store has a progress record of the job that can't be read, so that nobody knows
     * which tasks are done.
     */
    boolean progressUnreadable;

    /** Whether the store has rejected the last record of the job, which is not stored since. */
    boolean setAside;

    /** The blocks of the progress of a large submission, null for a small one. */
    final @Nullable TaskBlocks blocks;

    /** Which of these blocks have changed and are in the store. */
    final StoredBlocks storedBlocks = new StoredBlocks();

    /** When the submission was accepted, in milliseconds on the owner's clock. */
    final long acceptedAtMillis;

    /** What the queue grants, by the newest known version of the manifest that has the queue. */
    private QueueTerms terms;

    /**
     * The number of the first occurrence that is not known to have begun. All before it have begun,
     * and later ones may have.
     */
    private int firstOpenOccurrence;

    /**
     * Creates a job without progress. An unscheduled submission begins its only occurrence at once.
     *
     * @param accepted the accepted submission
     * @param createdRevision the store revision at which the submission was stored
     * @param acceptedAtMillis when the submission was accepted, in milliseconds on the owner's
     *     clock
     */
    Job(AcceptedSubmission accepted, long createdRevision, long acceptedAtMillis) {
        this.accepted = accepted;
        this.createdRevision = createdRevision;
        this.acceptedAtMillis = acceptedAtMillis;
        QueueTerms acceptedTerms = accepted.terms();
        this.terms = acceptedTerms == null ? QueueTerms.UNKNOWN : acceptedTerms;
        this.blocks = TaskBlocks.of(accepted.submission());
        if (!accepted.submission().scheduled()) {
            beginOccurrence(0);
        }
        SubmissionPart stored = accepted.part();
        this.recordRevision = stored == null ? createdRevision : stored.recordRevision();
        this.openRevision = createdRevision;
        if (stored != null) {
            applyPart(stored, createdRevision);
            progressStored = stored.first() && !stored.arrived().isEmpty();
        }
    }

    /**
     * Returns what the queue of the submission grants.
     *
     * @return the terms of the newest version of the manifest that has the queue, among the one at
     *     acceptance and those that this owner has had
     */
    QueueTerms terms() {
        return terms;
    }

    /**
     * Takes over what a version of the manifest grants. A version that lacks the queue says nothing
     * about it, nor does one before that at acceptance.
     *
     * @param route the route of the submission, or null if the version lacks it
     * @param version the version of the manifest
     */
    void updateTerms(@Nullable Route route, long version) {
        if (route != null && version >= terms.version()) {
            terms = QueueTerms.of(route, version);
        }
    }

    /** Takes note of progress that shows that a run of the submission has been active. */
    void onRunFound() {
        if (state == SubmissionState.QUEUED) {
            state = SubmissionState.RUNNING;
        }
    }

    /**
     * Raises the version of the job after a change of a task, or of a gang, that is to be stored.
     *
     * @param task the task
     */
    void onChanged(TaskRecord task) {
        version++;
        if (blocks != null) {
            Set<Integer> changed =
                    task.step.spec.gang()
                            ? blocks.blocksOf(task.step)
                            : Set.of(blocks.blockOf(task.id));
            storedBlocks.onChanged(changed, version);
        }
    }

    /**
     * Takes note that a batch with the job is stored.
     *
     * @param batchVersion the version of the job when the batch was made
     */
    void onStored(long batchVersion) {
        long stored =
                blocks == null || state.isFinal()
                        ? batchVersion
                        : storedBlocks.onStored(batchVersion);
        committedVersion = Math.max(committedVersion, stored);
    }

    /**
     * Takes over which tasks have their home in the cell, unless a later state is known.
     *
     * @param newPart the tasks
     * @param revision the revision of the submission's entry
     */
    void applyPart(SubmissionPart newPart, long revision) {
        if (revision < openRevision) {
            return;
        }
        openRevision = revision;
        part = newPart;
        for (OccurrenceRecord occurrence : occurrences.values()) {
            for (StepRecord step : occurrence.steps) {
                step.records.forEach(task -> task.applyPart(newPart));
            }
        }
        newPart.departed().forEach(this::keepRecord);
        newPart.arrived().forEach(this::keepRecord);
    }

    /**
     * Gives a task that has moved a record, unless it has one or the submission has no such task.
     *
     * @param moved what is known of the task
     */
    private void keepRecord(MovedTask moved) {
        if (moved.occurrence() >= 0 && moved.step() >= 0 && moved.index() >= 0) {
            findTask(new TaskId(id(), moved.occurrence(), moved.step(), moved.index()));
        }
    }

    /**
     * Returns the tasks that have their home in the cell.
     *
     * @return the stored part, or that of a first cell which no task has left
     */
    SubmissionPart partOrWhole() {
        SubmissionPart present = part;
        return present == null
                ? new SubmissionPart(true, recordRevision, List.of(), List.of())
                : present;
    }

    /**
     * Returns whether other cells count the submission and know its first state.
     *
     * @return whether the submission was accepted by another cell
     */
    boolean isGuest() {
        SubmissionPart present = part;
        return present != null && !present.first();
    }

    /**
     * Returns whether a version of the job is stored, or need not be any more.
     *
     * @param wanted the version, or {@link #NEVER_STORED}
     * @return whether the ends of runs that it includes may be acknowledged
     */
    boolean isStored(long wanted) {
        return discarded || committedVersion >= wanted;
    }

    /**
     * Returns whether no task of the job may start or move, since it is not known which are done or
     * their ends can't be stored.
     *
     * @return whether the stored progress can't be read, or the present one was set aside
     */
    boolean isHeldBack() {
        return progressUnreadable || setAside;
    }

    /**
     * Returns the identifier of the submission.
     *
     * @return the identifier, which the caller has chosen
     */
    String id() {
        return accepted.submission().id();
    }

    /**
     * Returns an occurrence, and creates it if it has not begun. One that was released has all of
     * its tasks done.
     *
     * @param number the number of the occurrence, from 0
     * @return the occurrence
     */
    OccurrenceRecord beginOccurrence(int number) {
        OccurrenceRecord present = occurrences.get(number);
        if (present != null) {
            return present;
        }
        OccurrenceRecord occurrence = new OccurrenceRecord(this, number);
        occurrences.put(number, occurrence);
        if (endedOccurrences.get(number)) {
            occurrence.markDone();
        }
        return occurrence;
    }

    /**
     * Returns the first occurrence of a repeated submission that is due and has not begun. Whether
     * a later one has begun already, for example since a worker runs it, says nothing about the
     * earlier ones.
     *
     * @param unixMillis the latest due time, in milliseconds since 1970
     * @return the number of the occurrence, or {@link #NO_OCCURRENCE} if there is none
     */
    int nextDueOccurrence(long unixMillis) {
        Submission submission = accepted.submission();
        while (firstOpenOccurrence < submission.occurrences()
                && (endedOccurrences.get(firstOpenOccurrence)
                        || occurrences.containsKey(firstOpenOccurrence))) {
            firstOpenOccurrence++;
        }
        boolean due =
                firstOpenOccurrence < submission.occurrences()
                        && submission.dueUnixMillis(firstOpenOccurrence) <= unixMillis;
        return due ? firstOpenOccurrence : NO_OCCURRENCE;
    }

    /**
     * Takes note that all tasks of an occurrence are done, which begins for that only if it has
     * begun already.
     *
     * @param number the number of the occurrence, from 0
     */
    void markDone(int number) {
        OccurrenceRecord present = occurrences.get(number);
        if (present == null) {
            endedOccurrences.set(number);
        } else {
            present.markDone();
        }
    }

    /**
     * Finds a task by its identifier. Begins the occurrence of the task if a worker reports the
     * task before this owner has begun the occurrence. The task has a record from now on.
     *
     * @param id the identifier of the task
     * @return the task, or null if the submission has no such task
     */
    @Nullable TaskRecord findTask(TaskId id) {
        Submission submission = accepted.submission();
        int occurrenceCount = submission.scheduled() ? submission.occurrences() : 1;
        if (id.occurrence() >= occurrenceCount || id.step() >= submission.steps().size()) {
            return null;
        }
        StepRecord step = beginOccurrence(id.occurrence()).steps.get(id.step());
        return id.index() < step.count() ? step.task(id.index()) : null;
    }

    /**
     * Gives the members of each gang the same checkpoint. Those that were read from the store may
     * differ, since the progress of a large submission is stored block by block.
     */
    void alignGangs() {
        for (OccurrenceRecord occurrence : occurrences.values()) {
            occurrence.steps.forEach(StepRecord::alignGang);
        }
    }

    /**
     * Removes the records of the tasks of a large submission that are done and have no runs, and
     * its occurrences without other tasks.
     */
    void releaseEnded() {
        if (blocks != null && part == null) {
            for (OccurrenceRecord occurrence : occurrences.values()) {
                occurrence.stepsWithRecords().forEach(StepRecord::releaseEnded);
            }
            if (accepted.submission().scheduled()) {
                occurrences.values().removeIf(this::isReleased);
            }
        }
    }

    /**
     * Keeps only a bit of an occurrence that is done and none of whose tasks has a record.
     *
     * @param occurrence the occurrence
     * @return whether it need not be held any more
     */
    private boolean isReleased(OccurrenceRecord occurrence) {
        boolean released =
                occurrence.isDone() && !occurrence.stepsWithRecords().iterator().hasNext();
        if (released) {
            endedOccurrences.set(occurrence.number);
        }
        return released;
    }

    /**
     * Returns whether every occurrence of the submission is done.
     *
     * @return whether all occurrences are done
     */
    boolean isDone() {
        Submission submission = accepted.submission();
        int occurrenceCount = submission.scheduled() ? submission.occurrences() : 1;
        long doneCount =
                endedOccurrences.cardinality()
                        + occurrences.values().stream()
                                .filter(occurrence -> !endedOccurrences.get(occurrence.number))
                                .filter(OccurrenceRecord::isDone)
                                .count();
        return doneCount == occurrenceCount;
    }
}
