package org.damasktiller.decision.interference;

import java.util.ArrayDeque;
import java.util.Arrays;

/**
 * Remembers the load of each kind on one worker, so that a lagging measurement is attributed to
 * what ran while it was taken.
 */
public final class LoadHistory {

    /** How far back loads are remembered, in milliseconds. */
    private final long horizonMillis;

    /** The changes, oldest first. */
    private final ArrayDeque<Change> changes = new ArrayDeque<>();

    /** The present load of each kind, by its number. */
    private double[] loads = new double[0];

    /**
     * Creates a history without load.
     *
     * @param horizonMillis how far back loads are remembered, in milliseconds
     */
    public LoadHistory(long horizonMillis) {
        this.horizonMillis = horizonMillis;
    }

    /**
     * Records a change.
     *
     * @param kind the number of the kind
     * @param delta the part of the worker's processors added, negative if removed
     * @param nowMillis the time, in milliseconds
     */
    public void change(int kind, double delta, long nowMillis) {
        if (kind >= loads.length) {
            loads = Arrays.copyOf(loads, kind + 1);
        }
        loads[kind] += delta;
        changes.addLast(new Change(nowMillis, kind, delta));
        while (nowMillis - changes.getFirst().atMillis() > horizonMillis) {
            changes.removeFirst();
        }
    }

    /**
     * Returns the mean load of each kind over a period.
     *
     * @param fromMillis the begin of the period, in milliseconds
     * @param toMillis its end, in milliseconds
     * @return the loads by the number of the kind
     */
    public double[] mean(long fromMillis, long toMillis) {
        double[] mean = loads.clone();
        double length = Math.max(1, toMillis - fromMillis);
        for (Change change : changes) {
            double before = (change.atMillis() - fromMillis) / length;
            mean[change.kind()] -= change.delta() * Math.min(1, Math.max(0, before));
        }
        return mean;
    }

    /**
     * Returns the present load of each kind.
     *
     * @return the loads by the number of the kind; not to be changed
     */
    double[] current() {
        return loads;
    }

    /**
     * Holds one change.
     *
     * @param atMillis when it happened, in milliseconds
     * @param kind the number of the kind
     * @param delta what was added
     */
    private record Change(long atMillis, int kind, double delta) {}
}
