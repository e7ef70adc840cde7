package org.damasktiller.scheduler.cell;

import java.util.HashMap;
import java.util.Map;
import org.damasktiller.scheduler.model.Resources;

/**
 * The suspect tasks that were assigned to workers in a pass. They start only once that is recorded,
 * so that their workers do not show it yet.
 */
final class SuspectAssignments {

    /** What the tasks need, by their worker. */
    private final Map<WorkerRecord, Resources> needs = new HashMap<>();

    /** The strictest quarantine of the tasks, by their worker. */
    private final Map<WorkerRecord, Quarantine> quarantines = new HashMap<>();

    /** Creates the assignments of a pass that begins. */
    SuspectAssignments() {}

    /** Forgets all assignments. */
    void clear() {
        needs.clear();
        quarantines.clear();
    }

    /**
     * Adds a task for the rest of the pass.
     *
     * @param worker its worker
     * @param quarantine its quarantine
     * @param need what it needs
     */
    void add(WorkerRecord worker, Quarantine quarantine, Resources need) {
        needs.merge(worker, need, Resources::plus);
        quarantines.merge(worker, quarantine, Quarantine::strictest);
    }

    /**
     * Returns whether a task was assigned to a worker in the pass.
     *
     * @param worker the worker
     * @return whether one was
     */
    boolean contains(WorkerRecord worker) {
        return quarantines.containsKey(worker);
    }

    /**
     * Returns what a task and those that were assigned to a worker need together.
     *
     * @param worker the worker
     * @param need what the task needs
     * @return the sum
     */
    Resources needWith(WorkerRecord worker, Resources need) {
        return needs.getOrDefault(worker, Resources.NONE).plus(need);
    }

    /**
     * Returns the quarantine of a worker once the tasks have started.
     *
     * @param worker the worker
     * @return the strictest of its runs and of the tasks that were assigned to it
     */
    Quarantine quarantineOf(WorkerRecord worker) {
        return worker.quarantine().strictest(quarantines.getOrDefault(worker, Quarantine.NONE));
    }

    /**
     * Returns whether a task may share a worker with the suspect tasks there.
     *
     * @param worker the worker
     * @param quarantine the quarantine of the task
     * @return whether there are some, and none of them or the task needs the worker alone
     */
    boolean isShareable(WorkerRecord worker, Quarantine quarantine) {
        return quarantine == Quarantine.SHARED && quarantineOf(worker) == Quarantine.SHARED;
    }
}
