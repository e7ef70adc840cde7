package org.damasktiller.decision.fairshare;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.damasktiller.decision.DominantShare;
import org.damasktiller.decision.SizeClass;
import org.damasktiller.resource.Resources;
import org.damasktiller.table.KindOfWork;
import org.damasktiller.table.WorkClass;
import org.jspecify.annotations.Nullable;

/** Keeps the waiting jobs, the usage and the virtual time of one kind of work. */
final class KindQueue {

    /** The rank of a kind that is below its guaranteed minimum. */
    private static final int RANK_GUARANTEED = 1;

    /** The rank of urgent kinds. */
    private static final int RANK_URGENT = 0;

    /** The rank of interactive kinds. */
    private static final int RANK_INTERACTIVE = 2;

    /** The rank of all other kinds. */
    private static final int RANK_BATCH = 3;

    /** How long a kind without a start may keep others from starting, in milliseconds. */
    private static final long LONGEST_BAR_MILLIS = 30_000;

    /** How long it may not do so again afterwards, in milliseconds. */
    private static final long REST_MILLIS = 600_000;

    /** The percent of a whole. */
    private static final double PERCENT = 100;

    /** The row of the table. */
    KindOfWork row;

    /** The rate of starts. */
    StartRate rate;

    /** The share received divided by the weight, in whole-fleet milliseconds. */
    double virtualTime;

    /** The rank under which the kind stands in the order of kinds. */
    int orderRank;

    /** The virtual time under which the kind stands in the order of kinds. */
    double orderTime;

    /** What the running jobs reserve. */
    Resources used = Resources.NONE;

    /** The share received until the last change of each job, in whole-fleet milliseconds. */
    double consumedMillis;

    /** The number of running jobs. */
    int running;

    /** The number of waiting jobs. */
    int pending;

    /** The virtual time charged for the last job started. */
    double lastCharge;

    /** Since when the kind has kept kinds ahead of it from starting, in milliseconds, or zero. */
    long barredMillis;

    /** Whether the kind is passed over for the rest of the round. */
    boolean parked;

    /** Until when the kind may not bar others again, in milliseconds. */
    private long unbarredUntilMillis;

    /** The lists that may be tried, by the arrival of their first job. */
    private final TreeMap<Long, SizeQueue> open = new TreeMap<>();

    /** The lists whose first job could not be placed in this round. */
    private final List<SizeQueue> refused = new ArrayList<>();

    /** The lists by the classes of processors, memory and accelerators. */
    private final Map<Integer, SizeQueue> sizes = new HashMap<>();

    /**
     * Creates the state of a kind without jobs.
     *
     * @param row the row of the table
     * @param nowMillis the time, in milliseconds
     */
    KindQueue(KindOfWork row, long nowMillis) {
        this.row = row;
        this.rate = new StartRate(row.ratePerSecond(), nowMillis);
    }

    /**
     * Returns the rank of the kind: urgent, below its minimum, interactive, batch.
     *
     * @param capacity the capacity of the fleet
     * @return the rank, lower first
     */
    int rank(Resources capacity) {
        if (row.workClass() == WorkClass.URGENT) {
            return RANK_URGENT;
        }
        double share = DominantShare.of(used, capacity);
        if (share * PERCENT < row.minimumSharePercent()) {
            return RANK_GUARANTEED;
        }
        return row.workClass() == WorkClass.INTERACTIVE ? RANK_INTERACTIVE : RANK_BATCH;
    }

    /**
     * Tells whether the kind may keep kinds ahead of it from starting. If this has gone on for long
     * without a start of its own, it may not do so for a while.
     *
     * @param nowMillis the time, in milliseconds
     * @return whether it may
     */
    boolean mayBar(long nowMillis) {
        if (nowMillis < unbarredUntilMillis) {
            return false;
        }
        if (barredMillis == 0) {
            barredMillis = nowMillis;
        }
        if (nowMillis - barredMillis < LONGEST_BAR_MILLIS) {
            return true;
        }
        barredMillis = 0;
        unbarredUntilMillis = nowMillis + REST_MILLIS;
        return false;
    }

    /**
     * Adds a waiting job.
     *
     * @param job the job
     * @param sequence its order of arrival
     * @return the entry
     */
    QueuedJob add(PendingJob job, long sequence) {
        SizeQueue queue = sizes.computeIfAbsent(sizeKey(job.size()), key -> new SizeQueue(this));
        QueuedJob entry = new QueuedJob(job, sequence, queue);
        boolean empty = queue.first() == null;
        queue.append(entry);
        pending++;
        if (empty && open.get(queue.orderKey) != queue && !refused.contains(queue)) {
            queue.orderKey = sequence;
            open.put(sequence, queue);
        }
        return entry;
    }

    /**
     * Removes a waiting job in constant time; the order of the lists is mended when next read.
     *
     * @param entry the job
     */
    void remove(QueuedJob entry) {
        entry.owner.remove(entry);
        pending--;
    }

    /**
     * Returns the longest waiting job whose size was not refused in this round.
     *
     * @return the job, or null if there is none
     */
    @Nullable QueuedJob head() {
        while (!open.isEmpty()) {
            SizeQueue queue = open.firstEntry().getValue();
            QueuedJob first = queue.first();
            if (first != null && first.sequence == queue.orderKey) {
                return first;
            }
            open.remove(queue.orderKey);
            if (first != null) {
                queue.orderKey = first.sequence;
                open.put(first.sequence, queue);
            }
        }
        return null;
    }

    /**
     * Passes over the size of a job for the rest of the round.
     *
     * @param queue the list of the size
     */
    void refuse(SizeQueue queue) {
        if (open.remove(queue.orderKey, queue)) {
            refused.add(queue);
        }
    }

    /** Lets all sizes be tried again. */
    void reopen() {
        for (SizeQueue queue : refused) {
            QueuedJob first = queue.first();
            if (first != null) {
                queue.orderKey = first.sequence;
                open.put(first.sequence, queue);
            }
        }
        refused.clear();
    }

    /**
     * Returns the arrival of the longest waiting job of all sizes.
     *
     * @param nowMillis the time to return if no job waits, in milliseconds
     * @return the arrival, in milliseconds
     */
    long oldestMillis(long nowMillis) {
        long oldest = nowMillis;
        for (SizeQueue queue : sizes.values()) {
            QueuedJob first = queue.first();
            if (first != null) {
                oldest = Math.min(oldest, first.job.submittedMillis());
            }
        }
        return oldest;
    }

    /**
     * Returns the key of the list for a size.
     *
     * @param size the size
     * @return the key
     */
    private static int sizeKey(Resources size) {
        int processors = SizeClass.of(size.milliProcessors());
        int memory = SizeClass.of(size.memoryMegabytes());
        return (size.accelerators() * SizeClass.COUNT + memory) * SizeClass.COUNT + processors;
    }
}
