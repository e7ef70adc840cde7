package org.damasktiller.decision.dispatch;

import java.util.HashSet;
import java.util.Set;
import org.damasktiller.decision.health.HealthSettings;
import org.damasktiller.decision.health.WorkerHealth;
import org.damasktiller.decision.health.WorkerStanding;
import org.damasktiller.decision.placement.PlacementIndex;
import org.damasktiller.identity.WorkerId;

/** Opens and closes workers to new work by their standing and by whether they are leaving. */
final class WorkerAccess {

    /** The reservations. */
    private final PlacementIndex index;

    /** The standing of workers. */
    private final WorkerHealth health;

    /** The workers that are leaving. */
    private final Set<WorkerId> draining = new HashSet<>();

    /**
     * Creates a part.
     *
     * @param index the reservations
     * @param settings the settings of probation
     */
    WorkerAccess(PlacementIndex index, HealthSettings settings) {
        this.index = index;
        this.health = new WorkerHealth(settings);
    }

    /**
     * Returns the standing of workers.
     *
     * @return the standing
     */
    WorkerHealth health() {
        return health;
    }

    /**
     * Gives no new work to a worker that is leaving.
     *
     * @param worker the worker
     */
    void drain(WorkerId worker) {
        draining.add(worker);
        index.open(worker, false);
    }

    /**
     * Forgets a worker that is gone.
     *
     * @param worker the worker
     */
    void remove(WorkerId worker) {
        draining.remove(worker);
        health.removeWorker(worker);
    }

    /**
     * Opens the workers whose probation has passed.
     *
     * @param nowMillis the time, in milliseconds
     */
    void onTime(long nowMillis) {
        health.onTime(nowMillis).forEach(this::reopen);
    }

    /**
     * Closes a worker in its trial once it has received a job.
     *
     * @param worker the worker
     */
    void onStart(WorkerId worker) {
        if (health.standing(worker) == WorkerStanding.TRIAL) {
            index.open(worker, false);
        }
    }

    /**
     * Opens a worker to new work unless it is leaving or on probation.
     *
     * @param worker the worker
     */
    void reopen(WorkerId worker) {
        boolean probation = health.standing(worker) == WorkerStanding.PROBATION;
        index.open(worker, !probation && !draining.contains(worker));
    }
}
