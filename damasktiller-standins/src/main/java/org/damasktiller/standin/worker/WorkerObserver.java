package org.damasktiller.standin.worker;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.function.UnaryOperator;
import org.damasktiller.identity.JobId;
import org.damasktiller.identity.WorkerId;
import org.damasktiller.resource.Resources;
import org.damasktiller.worker.AttemptId;

/**
 * Records every run on the stand-in workers and checks the rules of execution on the record. It
 * knows nothing of the code under test. Bring all workers to the current time before asking it.
 */
public final class WorkerObserver {

    /** The runs of each job, in the order in which they were recorded. */
    private final Map<JobId, List<Run>> runs = new TreeMap<>();

    /** The overcommitments seen. */
    private final List<Violation> overcommitments = new ArrayList<>();

    /** The number of runs started. */
    private long starts;

    /** Creates an observer without a record. */
    public WorkerObserver() {}

    /**
     * Returns the number of runs started so far.
     *
     * @return the number of runs
     */
    public long starts() {
        return starts;
    }

    /**
     * Returns all runs.
     *
     * @return the runs, by job
     */
    public List<Run> allRuns() {
        return runs.values().stream().flatMap(List::stream).toList();
    }

    /**
     * Returns the runs of a job.
     *
     * @param job the job
     * @return the runs, in the order in which they were recorded
     */
    public List<Run> runsOf(JobId job) {
        return List.copyOf(runs.getOrDefault(job, List.of()));
    }

    /**
     * Checks the record.
     *
     * @param repeatable tells from the payload whether a job may be repeated after a success or
     *     from an older part
     * @return the broken rules
     */
    public List<Violation> violations(Predicate<String> repeatable) {
        List<Violation> found = new ArrayList<>(overcommitments);
        for (List<Run> ofJob : runs.values()) {
            List<Run> ordered = new ArrayList<>(ofJob);
            ordered.sort(Comparator.comparingLong(Run::startMillis));
            checkAttempts(ordered, found);
            checkPlaces(ordered, found);
            if (!repeatable.test(ordered.get(0).payload())) {
                checkRepetition(ordered, found);
            }
        }
        return found;
    }

    /**
     * Records the start of a run.
     *
     * @param run the run
     */
    void started(Run run) {
        starts++;
        runs.computeIfAbsent(run.attempt().job(), job -> new ArrayList<>()).add(run);
    }

    /**
     * Records the end of the latest run of an attempt on a worker.
     *
     * @param attempt the attempt
     * @param worker the worker
     * @param millis when it ended, in milliseconds
     * @param progressMillis the run time done, in milliseconds
     * @param end how it ended
     */
    void ended(AttemptId attempt, WorkerId worker, long millis, long progressMillis, RunEnd end) {
        replaceLatest(attempt, worker, run -> run.ended(millis, progressMillis, end));
    }

    /**
     * Records that a worker lost its report of the end of an attempt.
     *
     * @param attempt the attempt
     * @param worker the worker
     */
    void forgotten(AttemptId attempt, WorkerId worker) {
        replaceLatest(attempt, worker, Run::withoutReport);
    }

    /**
     * Records that a worker was told to run more than it has.
     *
     * @param worker the worker
     * @param wanted the amounts wanted in total
     * @param capacity the amounts that the worker has
     */
    void overcommitted(WorkerId worker, Resources wanted, Resources capacity) {
        overcommitments.add(
                new Violation(
                        ViolationKind.OVERCOMMIT,
                        worker + " was given " + wanted + " and has " + capacity));
    }

    /**
     * Changes the record of the latest run of an attempt on a worker.
     *
     * @param attempt the attempt
     * @param worker the worker
     * @param change the change
     */
    private void replaceLatest(AttemptId attempt, WorkerId worker, UnaryOperator<Run> change) {
        List<Run> ofJob = runs.getOrDefault(attempt.job(), List.of());
        for (int index = ofJob.size() - 1; index >= 0; index--) {
            Run run = ofJob.get(index);
            if (run.attempt().equals(attempt) && run.worker().equals(worker)) {
                ofJob.set(index, change.apply(run));
                return;
            }
        }
        throw new IllegalStateException("no run of " + attempt + " on " + worker);
    }

    /**
     * Checks that no attempt was started twice.
     *
     * @param ordered the runs of one job by start
     * @param found where the broken rules go
     */
    private static void checkAttempts(List<Run> ordered, List<Violation> found) {
        Set<AttemptId> seen = new HashSet<>();
        for (Run run : ordered) {
            if (!seen.add(run.attempt())) {
                found.add(new Violation(ViolationKind.ATTEMPT_STARTED_TWICE, ordered.toString()));
            }
        }
    }

    /**
     * Checks that no two runs overlap in time.
     *
     * @param ordered the runs of one job by start
     * @param found where the broken rules go
     */
    private static void checkPlaces(List<Run> ordered, List<Violation> found) {
        long latestEnd = Long.MIN_VALUE;
        for (Run run : ordered) {
            if (run.startMillis() < latestEnd) {
                found.add(new Violation(ViolationKind.TWO_PLACES, ordered.toString()));
            }
            latestEnd = Math.max(latestEnd, run.endMillis());
        }
    }

    /**
     * Checks that nothing ran again after a success or before the end of the previous part, unless
     * the worker lost its report of it.
     *
     * @param ordered the runs of one job by start
     * @param found where the broken rules go
     */
    private static void checkRepetition(List<Run> ordered, List<Violation> found) {
        for (int index = 1; index < ordered.size(); index++) {
            Run earlier = ordered.get(index - 1);
            Run later = ordered.get(index);
            if (earlier.forgotten()) {
                continue;
            }
            if (earlier.end() == RunEnd.SUCCEEDED) {
                found.add(new Violation(ViolationKind.RUN_AGAIN, ordered.toString()));
            }
            boolean kept = earlier.end() == RunEnd.STOPPED || earlier.end() == RunEnd.LAPSED;
            if (kept && later.startProgressMillis() < earlier.endProgressMillis()) {
                found.add(new Violation(ViolationKind.PART_REPEATED, ordered.toString()));
            }
        }
    }
}
