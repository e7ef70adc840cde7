package org.damasktiller.authority.commit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Keeps a committed log in memory and plans its next version: seals the tail once it is large, and
 * compacts the oldest segments once replaced entries outweigh the current ones. Compaction always
 * takes the oldest segments, so that a replaced entry never outlives the entry that replaced it.
 */
final class LogIndex {

    /** How much larger than its current entries a log may be before it is compacted. */
    private static final int MAXIMUM_OVERHEAD_FACTOR = 2;

    /** The sealed tails by which a small log may exceed that factor. */
    private static final int SLACK_SEGMENTS = 2;

    /** The sizes. */
    private final CommitSettings settings;

    /** The current entry of each key. */
    private final Map<String, LogEntry> current = new HashMap<>();

    /** The sealed segments, oldest first. */
    private List<SealedSegment> segments = List.of();

    /** The entries after the last segment. */
    private List<LogEntry> tail = List.of();

    /** The size of the current entries, in bytes. */
    private long currentBytes;

    /** The size of all entries, in bytes. */
    private long totalBytes;

    /**
     * Creates the index of a log.
     *
     * @param settings the sizes
     * @param image the log
     */
    LogIndex(CommitSettings settings, LogImage image) {
        this.settings = settings;
        this.segments = image.segments();
        this.tail = image.head().tail();
        for (SealedSegment segment : segments) {
            segment.entries().forEach(this::replace);
        }
        tail.forEach(this::replace);
        totalBytes = sizeOf(segments) + sizeOfEntries(tail);
    }

    /**
     * Returns the current entries.
     *
     * @return the entries, in no particular order
     */
    List<LogEntry> currentEntries() {
        return List.copyOf(current.values());
    }

    /**
     * Lets the log drop the entry of a key.
     *
     * @param key the key
     */
    void forget(String key) {
        LogEntry old = current.remove(key);
        if (old != null) {
            currentBytes -= old.size();
        }
    }

    /**
     * Plans the next version of the log.
     *
     * @param batch the entries to append
     * @return the plan
     */
    LogPlan plan(List<LogEntry> batch) {
        List<SealedSegment> kept = new ArrayList<>(segments);
        List<SealedSegment> dropped = new ArrayList<>();
        List<List<LogEntry>> added = new ArrayList<>();
        List<LogEntry> moved = compact(kept, dropped);
        if (!moved.isEmpty()) {
            added.add(moved);
        }
        List<LogEntry> nextTail = new ArrayList<>(tail);
        nextTail.addAll(batch);
        if (sizeOfEntries(nextTail) > settings.sealBytes()) {
            added.add(nextTail);
            nextTail = List.of();
        }
        return new LogPlan(kept, added, dropped, nextTail);
    }

    /**
     * Puts a committed plan in force.
     *
     * @param plan the plan
     * @param written the new segments of the plan, in order
     * @param batch the entries that the plan appended
     */
    void committed(LogPlan plan, List<SealedSegment> written, List<LogEntry> batch) {
        List<SealedSegment> all = new ArrayList<>(plan.kept());
        all.addAll(written);
        segments = List.copyOf(all);
        tail = List.copyOf(plan.tail());
        batch.forEach(this::replace);
        totalBytes = sizeOf(segments) + sizeOfEntries(tail);
    }

    /**
     * Takes the oldest segments out while the log is too large for its current entries.
     *
     * @param kept the segments, from which the replaced ones are taken out
     * @param dropped where the replaced ones go
     * @return the current entries of the replaced segments
     */
    private List<LogEntry> compact(List<SealedSegment> kept, List<SealedSegment> dropped) {
        List<LogEntry> moved = new ArrayList<>();
        long bound =
                MAXIMUM_OVERHEAD_FACTOR * currentBytes
                        + (long) SLACK_SEGMENTS * settings.sealBytes();
        long movedBytes = 0;
        long remaining = totalBytes;
        while (remaining > bound && !kept.isEmpty()) {
            List<LogEntry> live = kept.get(0).entries().stream().filter(this::isCurrent).toList();
            long liveBytes = sizeOfEntries(live);
            if (movedBytes > 0 && movedBytes + liveBytes > settings.batchBytes()) {
                break;
            }
            SealedSegment oldest = kept.remove(0);
            dropped.add(oldest);
            moved.addAll(live);
            movedBytes += liveBytes;
            remaining -= oldest.size() - liveBytes;
        }
        return moved;
    }

    /**
     * Tells whether an entry was not replaced. Compares by identity, since a key may get an equal
     * entry twice.
     *
     * @param entry the entry
     * @return whether it is the current entry of its key
     */
    @SuppressWarnings("ReferenceEquality")
    private boolean isCurrent(LogEntry entry) {
        return current.get(entry.key()) == entry;
    }

    /**
     * Makes an entry the current one of its key.
     *
     * @param entry the entry
     */
    private void replace(LogEntry entry) {
        LogEntry old = current.put(entry.key(), entry);
        currentBytes += entry.size() - (old == null ? 0 : old.size());
    }

    /**
     * Adds up the sizes of segments.
     *
     * @param segments the segments
     * @return the size, in bytes
     */
    private static long sizeOf(List<SealedSegment> segments) {
        long sum = 0;
        for (SealedSegment segment : segments) {
            sum += segment.size();
        }
        return sum;
    }

    /**
     * Adds up the sizes of entries.
     *
     * @param entries the entries
     * @return the size, in bytes
     */
    private static long sizeOfEntries(List<LogEntry> entries) {
        long sum = 0;
        for (LogEntry entry : entries) {
            sum += entry.size();
        }
        return sum;
    }
}
