package org.damasktiller.scheduler.cell;

import java.util.ArrayList;

/**
 * Looks at all workers at intervals: ends the runs of replaced workers and expired runs, handles
 * draining workers, and removes workers that are gone.
 */
final class WorkerSupervisor {

    /** The shared state of the cell's owner. */
    private final CellContext context;

    /** Ends the runs of workers. */
    private final WorkerPoller poller;

    /** Moves work off draining workers. */
    private final DrainController drainController;

    /** Learns which workers are gone. */
    private final CrashTracker crashTracker;

    /**
     * Creates a supervisor of the workers of a cell.
     *
     * @param context the shared state of the cell's owner
     * @param poller ends the runs of workers
     * @param drainController moves work off draining workers
     * @param crashTracker learns which workers are gone
     */
    WorkerSupervisor(
            CellContext context,
            WorkerPoller poller,
            DrainController drainController,
            CrashTracker crashTracker) {
        this.context = context;
        this.poller = poller;
        this.drainController = drainController;
        this.crashTracker = crashTracker;
    }

    /**
     * Looks at all workers once.
     *
     * @return whether an ownership check has to show that leases are over
     */
    boolean update() {
        boolean checkNeeded = context.previousOwners.needsOwnershipCheck();
        ReplacementDetector replacements = new ReplacementDetector(context.allWorkers());
        for (WorkerRecord worker : new ArrayList<>(context.allWorkers())) {
            poller.endRunsIfReplaced(worker, replacements);
            checkNeeded |= poller.expireRuns(worker);
            drainController.update(worker);
            if (isGone(worker)) {
                context.workers.remove(worker.id);
                crashTracker.onGone(worker);
                context.log.log("worker.gone", "worker", worker.id);
            }
        }
        if (context.previousOwners.excludeReplaced(replacements)) {
            crashTracker.onUncountedCrash();
        }
        return checkNeeded;
    }

    /**
     * Returns whether a worker needs no record any more.
     *
     * @param worker the worker
     * @return whether it has no entry, no run and no lease
     */
    private boolean isGone(WorkerRecord worker) {
        return !worker.listed
                && worker.runs.isEmpty()
                && context.now() >= worker.leasesExpireAtMillis;
    }
}
