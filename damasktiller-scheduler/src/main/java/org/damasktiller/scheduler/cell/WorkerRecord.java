package org.damasktiller.scheduler.cell;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;
import org.damasktiller.scheduler.model.Resources;
import org.damasktiller.scheduler.model.WorkerEntry;
import org.damasktiller.scheduler.port.WorkerAddress;

/** A worker as the owner of its cell knows it. */
public final class WorkerRecord {

    /** Stands for a clock that has not been read. */
    static final long NO_CLOCK = -1;

    /**
     * For how long a worker that answers is used without an entry, in milliseconds: entries that
     * lapsed in an outage of the store come back within two seconds.
     */
    private static final long UNLISTED_GRACE_MILLIS = 2_500;

    /**
     * For how long an answer is relied on for starts, in milliseconds: two waits of a look, and
     * less than a worker needs to begin a new life, in which it would have forgotten every fence.
     */
    private static final long FRESH_ANSWER_MILLIS = 1_000;

    /** Its identifier. */
    final String id;

    /** The runs that are or may be active, by key. */
    final Map<RunKey, RunRecord> runs = new LinkedHashMap<>();

    /** The ends that have been taken in and whose acknowledgement waits for a commit. */
    final Deque<PendingEnd> pendingEnds = new ArrayDeque<>();

    /** What its failures say of it. */
    final WorkerConduct conduct = new WorkerConduct();

    /** What its tasks that serve suffer. */
    final HarmWatch harm = new HarmWatch();

    /** What it registered last. */
    WorkerEntry entry;

    /** Whether its entry is in the store. */
    boolean listed = true;

    /** When its entry was found missing, in milliseconds. */
    long unlistedSinceMillis;

    /** Whether the present boot has answered a look of this owner. */
    boolean fenced;

    /** When the boot that answered began, in milliseconds since 1970, or zero. */
    long bornUnixMillis;

    /** The worker's clock as read last, in milliseconds, or NO_CLOCK. */
    long clockMillis = NO_CLOCK;

    /** When that reading arrived, in milliseconds. */
    long clockReadAtMillis;

    /** A reading of the clock that is older than the last proof of ownership, or NO_CLOCK. */
    long provenClockMillis = NO_CLOCK;

    /** The reading taken when the proof that is under way began, or NO_CLOCK. */
    long candidateClockMillis = NO_CLOCK;

    /** By when on the owner's clock every lease that anyone gave has expired, in milliseconds. */
    long leaseOverAtMillis;

    /** The number of the last end taken in. */
    long takenSequence;

    /** The number of the last end that the worker may forget. */
    long acknowledgedSequence;

    /** What the runs reserve. */
    Resources reserved = Resources.NONE;

    /** The number of orders on their way. */
    int ordersInFlight;

    /** The number of the look sent last. */
    long lookNumber;

    /** How many looks in a row got no answer; none of those that follow lengthens the lease. */
    int missedLooks;

    /** Whether a look is on its way. */
    boolean looking;

    /** When the worker answered last, in milliseconds, or -1 if never. */
    long answeredAtMillis = -1;

    /** Until when the worker counts as full after it refused a task, in milliseconds. */
    long fullUntilMillis;

    /** Until when the worker is left alone after it was unhealthy or mute, in milliseconds. */
    long avoidUntilMillis;

    /** Until when the worker counts as slow, in milliseconds. */
    long slowUntilMillis;

    /** When the worker was first seen draining, in milliseconds, or -1. */
    long drainingSinceMillis = -1;

    /** Whether the stored list of workers in use has this worker. */
    boolean enrolled;

    /**
     * Creates a record.
     *
     * @param entry what the worker registered
     * @param leaseOverAtMillis by when every lease of former owners has expired, in milliseconds
     */
    WorkerRecord(WorkerEntry entry, long leaseOverAtMillis) {
        this.id = entry.id();
        this.entry = entry;
        this.leaseOverAtMillis = leaseOverAtMillis;
    }

    /**
     * Returns how calls name the worker.
     *
     * @return the name and address
     */
    WorkerAddress address() {
        return new WorkerAddress(id, entry.address());
    }

    /**
     * Returns the room that is free.
     *
     * @return the room, negative where the worker runs more than it has
     */
    Resources free() {
        return entry.capacity().minus(reserved);
    }

    /**
     * Adds a run and reserves its room.
     *
     * @param record the run
     */
    void add(RunRecord record) {
        if (runs.put(record.key(), record) == null) {
            reserved = reserved.plus(record.reserved);
        }
        if (record.task != null && !record.task.runs.contains(record)) {
            record.task.runs.add(record);
        }
    }

    /**
     * Removes a run and frees its room.
     *
     * @param record the run
     */
    void remove(RunRecord record) {
        if (runs.remove(record.key()) != null) {
            reserved = reserved.minus(record.reserved);
        }
        if (record.task != null) {
            record.task.runs.remove(record);
        }
    }

    /**
     * Moves the acknowledged number over the ends whose effects are stored. An end of a former
     * owner's run is kept until that owner can start the task no more: it may act on what it knew,
     * at a worker that no fence has reached, and a start after an acknowledged end is a second run.
     *
     * @param settled whether former owners can start nothing any more
     * @param runBase the number below the first run of this term
     */
    void advanceAcknowledgement(boolean settled, int runBase) {
        while (!pendingEnds.isEmpty()) {
            PendingEnd first = pendingEnds.peekFirst();
            if (!first.stored() || (!settled && first.run() <= runBase)) {
                return;
            }
            acknowledgedSequence = first.sequence();
            pendingEnds.removeFirst();
        }
    }

    /**
     * Tells whether new work may go to the worker.
     *
     * @param nowMillis the time, in milliseconds
     * @return whether it may
     */
    boolean usable(long nowMillis) {
        boolean known = listed || nowMillis - unlistedSinceMillis < UNLISTED_GRACE_MILLIS;
        return known
                && fenced
                && nowMillis - answeredAtMillis <= FRESH_ANSWER_MILLIS
                && enrolled
                && !entry.draining()
                && provenClockMillis != NO_CLOCK
                && nowMillis >= avoidUntilMillis;
    }
}
