package org.damasktiller.verification.owner;

import java.util.AbstractSet;
import java.util.Iterator;

/** The workers that no owner reaches: those that are cut off and those that are not running. */
final class UnreachableWorkers extends AbstractSet<String> {

    /** The cell. */
    private final CellSimulation simulation;

    /**
     * Creates a view.
     *
     * @param simulation the cell
     */
    UnreachableWorkers(CellSimulation simulation) {
        this.simulation = simulation;
    }

    @Override
    public boolean contains(Object id) {
        return simulation.unreachable.contains(id) || !simulation.workers.get(id).isAlive();
    }

    @Override
    public Iterator<String> iterator() {
        return simulation.workers.keySet().stream().filter(this::contains).iterator();
    }

    @Override
    public int size() {
        return (int) simulation.workers.keySet().stream().filter(this::contains).count();
    }
}
