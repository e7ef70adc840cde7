package org.damasktiller.decision.placement;

import java.util.Arrays;
import org.damasktiller.decision.DominantShare;
import org.damasktiller.resource.Resources;

/** Holds what is reserved on one worker, in total and for each kind. */
public final class WorkerState {

    /** The number of kinds for which there is room at first. */
    private static final int INITIAL_KINDS = 4;

    /** The description of the worker. */
    private final WorkerSpec spec;

    /** The number of the worker in its index. */
    private final int number;

    /** What is not reserved. */
    private Resources free;

    /** The numbers of the kinds with jobs on the worker. */
    private int[] kinds = new int[INITIAL_KINDS];

    /** The number of jobs of each of these kinds. */
    private int[] counts = new int[INITIAL_KINDS];

    /** The thousandths of processors reserved for each of these kinds. */
    private long[] milliProcessors = new long[INITIAL_KINDS];

    /** How many kinds have jobs on the worker. */
    private int kindCount;

    /** Whether the worker may receive jobs. */
    private boolean open = true;

    /** Whether the worker is kept for one job. */
    private boolean held;

    /** The list of the free-space index that holds the worker, -1 for none. */
    private int cell = -1;

    /** The position within this list. */
    private int position;

    /**
     * Creates an empty worker.
     *
     * @param spec the description
     * @param number the number in its index
     */
    WorkerState(WorkerSpec spec, int number) {
        this.spec = spec;
        this.number = number;
        this.free = spec.capacity();
    }

    /**
     * Returns the description of the worker.
     *
     * @return the description
     */
    public WorkerSpec spec() {
        return spec;
    }

    /**
     * Returns the number of the worker in its index, for arrays kept beside it.
     *
     * @return the number, from zero
     */
    public int number() {
        return number;
    }

    /**
     * Returns what is not reserved.
     *
     * @return the amount
     */
    public Resources free() {
        return free;
    }

    /**
     * Returns the dominant share of the worker that is reserved.
     *
     * @return the share, from 0 to 1
     */
    public double reservedShare() {
        return DominantShare.of(spec.capacity().minus(free), spec.capacity());
    }

    /**
     * Returns how many kinds have jobs on the worker.
     *
     * @return the number
     */
    public int kindCount() {
        return kindCount;
    }

    /**
     * Returns the number of the kind at a position.
     *
     * @param at the position, below {@code kindCount}
     * @return the number of the kind
     */
    public int kindAt(int at) {
        return kinds[at];
    }

    /**
     * Returns the part of the worker's processors that is reserved for the kind at a position.
     *
     * @param at the position, below {@code kindCount}
     * @return the part, from 0 to 1
     */
    public double loadAt(int at) {
        long whole = Math.max(1, spec.capacity().milliProcessors());
        return (double) milliProcessors[at] / whole;
    }

    /**
     * Changes the number of jobs and the reservation of a kind.
     *
     * @param kind the number of the kind
     * @param jobs the jobs to add, negative to remove
     * @param added what is reserved besides
     * @param removed what is no longer reserved
     */
    void change(int kind, int jobs, Resources added, Resources removed) {
        free = free.plus(removed).minus(added);
        int at = positionOf(kind);
        counts[at] += jobs;
        milliProcessors[at] += added.milliProcessors() - removed.milliProcessors();
        if (counts[at] == 0) {
            kindCount--;
            kinds[at] = kinds[kindCount];
            counts[at] = counts[kindCount];
            milliProcessors[at] = milliProcessors[kindCount];
        }
    }

    /**
     * Tells whether the worker may receive jobs other than the one it is kept for.
     *
     * @return whether it is open and not kept
     */
    boolean available() {
        return open && !held;
    }

    /**
     * Returns whether the worker may receive jobs.
     *
     * @return whether it is open
     */
    boolean open() {
        return open;
    }

    /**
     * Sets whether the worker may receive jobs.
     *
     * @param value whether it is open
     */
    void open(boolean value) {
        open = value;
    }

    /**
     * Sets whether the worker is kept for one job.
     *
     * @param value whether it is kept
     */
    void held(boolean value) {
        held = value;
    }

    /**
     * Returns the list of the free-space index that holds the worker.
     *
     * @return the list, -1 for none
     */
    int cell() {
        return cell;
    }

    /**
     * Returns the position within the list.
     *
     * @return the position
     */
    int position() {
        return position;
    }

    /**
     * Records where the free-space index holds the worker.
     *
     * @param newCell the list, -1 for none
     * @param newPosition the position within it
     */
    void at(int newCell, int newPosition) {
        cell = newCell;
        position = newPosition;
    }

    /**
     * Returns the position of a kind and makes room for a new one.
     *
     * @param kind the number of the kind
     * @return the position
     */
    private int positionOf(int kind) {
        for (int at = 0; at < kindCount; at++) {
            if (kinds[at] == kind) {
                return at;
            }
        }
        if (kindCount == kinds.length) {
            kinds = Arrays.copyOf(kinds, 2 * kindCount);
            counts = Arrays.copyOf(counts, 2 * kindCount);
            milliProcessors = Arrays.copyOf(milliProcessors, 2 * kindCount);
        }
        kinds[kindCount] = kind;
        counts[kindCount] = 0;
        milliProcessors[kindCount] = 0;
        return kindCount++;
    }
}
