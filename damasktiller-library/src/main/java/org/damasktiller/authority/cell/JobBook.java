package org.damasktiller.authority.cell;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.damasktiller.authority.commit.GroupCommitter;
import org.damasktiller.authority.commit.LogEntry;
import org.damasktiller.identity.JobId;
import org.damasktiller.identity.RequestKey;

/** Keeps the jobs of a cell in memory and commits their changes. */
final class JobBook {

    /** The codec of the records. */
    private final JobCodec codec = new JobCodec();

    /** Where the changes are committed. */
    private final GroupCommitter committer;

    /** The jobs. */
    private final Map<JobId, Job> jobs = new HashMap<>();

    /** The jobs by request key. */
    private final Map<RequestKey, Job> byKey = new HashMap<>();

    /** The jobs with a change that is being committed, in the order of the log. */
    private final Deque<Job> proposals = new ArrayDeque<>();

    /** The ended jobs, in the order of their ends. */
    private final Deque<Job> ended = new ArrayDeque<>();

    /**
     * Creates the book of a cell that was taken over.
     *
     * @param committer where changes are committed, with the entries of the log
     */
    JobBook(GroupCommitter committer) {
        this.committer = committer;
        List<Job> endedJobs = new ArrayList<>();
        for (LogEntry entry : committer.currentEntries()) {
            Job job = new Job(codec.decode(entry), true);
            add(job);
            if (job.record().state().ended()) {
                endedJobs.add(job);
            }
        }
        endedJobs.sort(
                (left, right) ->
                        Long.compare(
                                left.record().changedMillis(), right.record().changedMillis()));
        ended.addAll(endedJobs);
    }

    /**
     * Finds a job.
     *
     * @param id the job
     * @return the job, or empty if it is not known
     */
    Optional<Job> find(JobId id) {
        return Optional.ofNullable(jobs.get(id));
    }

    /**
     * Finds a job by its request key.
     *
     * @param key the key
     * @return the job, or empty if none has the key
     */
    Optional<Job> find(RequestKey key) {
        return Optional.ofNullable(byKey.get(key));
    }

    /**
     * Returns all jobs.
     *
     * @return the jobs, in no particular order
     */
    Collection<Job> jobs() {
        return jobs.values();
    }

    /**
     * Returns the number of jobs.
     *
     * @return the number, the ended jobs included
     */
    int size() {
        return jobs.size();
    }

    /**
     * Adds a job and begins to commit its acceptance.
     *
     * @param record the first record
     * @return the job
     */
    Job accept(JobRecord record) {
        Job job = new Job(record, false);
        add(job);
        propose(job, record);
        return job;
    }

    /**
     * Begins to commit a change. A job has one change at a time.
     *
     * @param job the job
     * @param next the new record
     */
    void propose(Job job, JobRecord next) {
        if (job.proposed() != null) {
            throw new IllegalStateException("a change is being committed of " + next.id());
        }
        job.propose(next, committer.append(codec.encode(next)));
        proposals.add(job);
    }

    /**
     * Puts the changes in force that have been committed.
     *
     * @return the changes, in the order of the log
     */
    List<JobChange> settle() {
        List<JobChange> changes = new ArrayList<>();
        while (!proposals.isEmpty() && proposals.element().position() <= committer.committed()) {
            Job job = proposals.remove();
            JobRecord before = job.record();
            job.commit();
            if (job.record().state().ended()) {
                ended.add(job);
            }
            changes.add(new JobChange(job, before));
        }
        return changes;
    }

    /**
     * Returns the jobs whose acceptance has waited long for its commit.
     *
     * @param beforeMillis the time before which it was submitted, in milliseconds
     * @return the jobs
     */
    List<Job> waitingSince(long beforeMillis) {
        List<Job> found = new ArrayList<>();
        for (Job job : proposals) {
            if (job.record().changedMillis() >= beforeMillis) {
                break;
            }
            if (!job.accepted()) {
                found.add(job);
            }
        }
        return found;
    }

    /**
     * Takes a job back whose acceptance is in no write yet.
     *
     * @param job the job
     * @return whether it was taken back and will never be accepted
     */
    boolean withdraw(Job job) {
        if (job.accepted() || !committer.withdraw(job.position())) {
            return false;
        }
        proposals.remove(job);
        remove(job);
        return true;
    }

    /**
     * Forgets the jobs that ended long ago.
     *
     * @param beforeMillis the time before which a job ended long ago, in milliseconds
     */
    void forgetEnded(long beforeMillis) {
        while (!ended.isEmpty() && ended.element().record().changedMillis() < beforeMillis) {
            Job oldest = ended.remove();
            remove(oldest);
            committer.forget(oldest.record().id().value());
        }
    }

    /**
     * Adds a job to the maps.
     *
     * @param job the job
     */
    private void add(Job job) {
        jobs.put(job.record().id(), job);
        byKey.put(job.record().submission().key(), job);
    }

    /**
     * Takes a job out of the maps.
     *
     * @param job the job
     */
    private void remove(Job job) {
        jobs.remove(job.record().id());
        byKey.remove(job.record().submission().key(), job);
    }
}
