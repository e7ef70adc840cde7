package org.damasktiller.decision.health;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.damasktiller.identity.JobId;
import org.damasktiller.identity.KindName;
import org.damasktiller.identity.WorkerId;

/**
 * Puts workers on which several different jobs fail on probation, so that a worker that fails fast
 * does not attract work, and readmits them after a trial. The probation doubles with each failed
 * trial. A failure of a kind that fails on all workers counts little against one of them. Not safe
 * for use by several threads.
 */
public final class WorkerHealth {

    /** The percent of a whole. */
    private static final int PERCENT = 100;

    /** The settings. */
    private final HealthSettings settings;

    /** The workers. */
    private final Map<WorkerId, WorkerRecord> workers = new HashMap<>();

    /** The failures of each kind. */
    private final Map<KindName, KindFailures> kinds = new HashMap<>();

    /** The number of workers on probation or trial. */
    private int suspected;

    /**
     * Creates a record without workers.
     *
     * @param settings the settings
     */
    public WorkerHealth(HealthSettings settings) {
        this.settings = settings;
    }

    /**
     * Adds a worker in good standing. A known worker is left as it is.
     *
     * @param worker the worker
     */
    public void addWorker(WorkerId worker) {
        workers.putIfAbsent(worker, new WorkerRecord());
    }

    /**
     * Forgets a worker that is gone.
     *
     * @param worker the worker
     */
    public void removeWorker(WorkerId worker) {
        WorkerRecord record = workers.remove(worker);
        if (record != null && record.standing != WorkerStanding.GOOD) {
            suspected--;
        }
    }

    /**
     * Records the result of a job.
     *
     * @param worker the worker
     * @param job the job
     * @param kind its kind
     * @param failed whether it failed
     * @param nowMillis the time, in milliseconds
     * @return whether the standing of the worker changed
     */
    public boolean onResult(
            WorkerId worker, JobId job, KindName kind, boolean failed, long nowMillis) {
        KindFailures failures = kinds.computeIfAbsent(kind, key -> new KindFailures());
        double weight = 1 - failures.part();
        failures.add(failed);
        WorkerRecord record = workers.get(worker);
        if (record == null) {
            return false;
        }
        WorkerStanding before = record.standing;
        if (failed) {
            onFailure(record, job, weight, nowMillis);
        } else {
            onSuccess(record);
        }
        return record.standing != before;
    }

    /**
     * Begins the trial of the workers whose probation has passed.
     *
     * @param nowMillis the time, in milliseconds
     * @return the workers whose trial begins
     */
    public List<WorkerId> onTime(long nowMillis) {
        if (suspected == 0) {
            return List.of();
        }
        List<WorkerId> trials = new ArrayList<>();
        for (Map.Entry<WorkerId, WorkerRecord> entry : workers.entrySet()) {
            WorkerRecord record = entry.getValue();
            boolean passed = nowMillis >= record.probationEndMillis;
            if (record.standing == WorkerStanding.PROBATION && passed) {
                record.standing = WorkerStanding.TRIAL;
                record.trialSuccesses = 0;
                trials.add(entry.getKey());
            }
        }
        return trials;
    }

    /**
     * Returns how much work a worker may receive.
     *
     * @param worker the worker
     * @return the standing; good if the worker is unknown
     */
    public WorkerStanding standing(WorkerId worker) {
        WorkerRecord record = workers.get(worker);
        return record == null ? WorkerStanding.GOOD : record.standing;
    }

    /**
     * Records a failure.
     *
     * @param record the worker
     * @param job the job
     * @param weight how much the failure counts
     * @param nowMillis the time, in milliseconds
     */
    private void onFailure(WorkerRecord record, JobId job, double weight, long nowMillis) {
        if (record.standing == WorkerStanding.TRIAL) {
            beginProbation(record, nowMillis);
            return;
        }
        if (!record.failed.add(job)) {
            return;
        }
        record.suspicion += weight;
        boolean enough = record.failed.size() >= settings.failuresToSuspect();
        boolean weighty = 2 * record.suspicion >= settings.failuresToSuspect();
        boolean room = (suspected + 1) * PERCENT <= settings.largestPartPercent() * workers.size();
        if (record.standing == WorkerStanding.GOOD && enough && weighty && room) {
            suspected++;
            beginProbation(record, nowMillis);
        }
    }

    /**
     * Records a success.
     *
     * @param record the worker
     */
    private void onSuccess(WorkerRecord record) {
        record.failed.clear();
        record.suspicion = 0;
        if (record.standing != WorkerStanding.TRIAL) {
            return;
        }
        record.trialSuccesses++;
        if (record.trialSuccesses >= settings.successesToReadmit()) {
            record.standing = WorkerStanding.GOOD;
            record.probationMillis = 0;
            suspected--;
        }
    }

    /**
     * Begins a probation, twice as long as the last one.
     *
     * @param record the worker
     * @param nowMillis the time, in milliseconds
     */
    private void beginProbation(WorkerRecord record, long nowMillis) {
        long doubled = Math.max(settings.firstProbationMillis(), 2 * record.probationMillis);
        record.probationMillis = Math.min(settings.longestProbationMillis(), doubled);
        record.probationEndMillis = nowMillis + record.probationMillis;
        record.standing = WorkerStanding.PROBATION;
        record.failed.clear();
        record.suspicion = 0;
    }
}
