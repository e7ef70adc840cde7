package org.damasktiller.scheduler.cell;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.damasktiller.scheduler.model.AcceptedSubmission;
import org.damasktiller.scheduler.model.Submission;
import org.damasktiller.scheduler.model.SubmissionState;
import org.damasktiller.scheduler.model.TaskId;
import org.jspecify.annotations.Nullable;

/** A submission in the hands of its cell's owner. */
public final class Job {

    /** What was accepted. */
    final AcceptedSubmission accepted;

    /** The revision at which the submission was stored. */
    final long createdRevision;

    /** The occurrences that have begun, by number. */
    final Map<Integer, OccurrenceRecord> occurrences = new TreeMap<>();

    /** The workers at which a run failed. */
    final Set<String> failedAt = new HashSet<>(2);

    /** The state. */
    SubmissionState state = SubmissionState.QUEUED;

    /** Counts the changes that have to be stored. */
    long version;

    /** The version that is stored. */
    long committedVersion;

    /** Whether progress has been stored under a key of its own. */
    boolean progressStored;

    /** When this owner first saw the submission, in milliseconds. */
    final long seenMillis;

    /**
     * Creates a job that has not begun.
     *
     * @param accepted what was accepted
     * @param createdRevision the revision at which it was stored
     * @param seenMillis the time, in milliseconds
     */
    Job(AcceptedSubmission accepted, long createdRevision, long seenMillis) {
        this.accepted = accepted;
        this.createdRevision = createdRevision;
        this.seenMillis = seenMillis;
        if (!accepted.submission().scheduled()) {
            begin(0);
        }
    }

    /**
     * Returns the identifier.
     *
     * @return the identifier
     */
    String id() {
        return accepted.submission().id();
    }

    /**
     * Begins an occurrence unless it has begun.
     *
     * @param number its number
     * @return the occurrence
     */
    OccurrenceRecord begin(int number) {
        return occurrences.computeIfAbsent(number, key -> new OccurrenceRecord(this, key));
    }

    /**
     * Begins the occurrences that are due.
     *
     * @param unixMillis the latest time that counts as due, in milliseconds since 1970
     */
    void beginDue(long unixMillis) {
        Submission submission = accepted.submission();
        if (!submission.scheduled()) {
            return;
        }
        long due = submission.firstDueUnixMillis() + nextOccurrence() * submission.intervalMillis();
        while (nextOccurrence() < submission.occurrences() && due <= unixMillis) {
            begin(nextOccurrence());
            due += submission.intervalMillis();
        }
    }

    /**
     * Finds a task, beginning its occurrence if a worker has told of it first.
     *
     * @param id the name
     * @return the task, or null if the submission has no such task
     */
    @Nullable TaskRecord find(TaskId id) {
        Submission submission = accepted.submission();
        int most = submission.scheduled() ? submission.occurrences() : 1;
        if (id.occurrence() >= most || id.step() >= submission.steps().size()) {
            return null;
        }
        StepRecord step = begin(id.occurrence()).steps.get(id.step());
        return id.index() < step.tasks.size() ? step.tasks.get(id.index()) : null;
    }

    /**
     * Tells whether every occurrence is done.
     *
     * @return whether they are
     */
    boolean allDone() {
        Submission submission = accepted.submission();
        int most = submission.scheduled() ? submission.occurrences() : 1;
        return occurrences.size() == most
                && occurrences.values().stream().allMatch(OccurrenceRecord::done);
    }

    /**
     * Returns the number of the occurrence that follows the highest one that has begun.
     *
     * @return the number
     */
    private int nextOccurrence() {
        return occurrences.keySet().stream().mapToInt(number -> number + 1).max().orElse(0);
    }
}
