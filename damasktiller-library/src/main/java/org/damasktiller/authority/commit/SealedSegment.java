package org.damasktiller.authority.commit;

import java.util.List;

/**
 * Holds one sealed segment with its place in the store.
 *
 * @param reference the name of the segment
 * @param revision the revision of its key
 * @param entries the entries, oldest first
 * @param size a bound of the encoded size, in bytes
 */
public record SealedSegment(
        SegmentReference reference, long revision, List<LogEntry> entries, long size) {

    /** Copies the list. */
    public SealedSegment {
        entries = List.copyOf(entries);
    }

    /**
     * Creates a segment.
     *
     * @param reference the name of the segment
     * @param revision the revision of its key
     * @param entries the entries, oldest first
     * @return the segment
     */
    public static SealedSegment of(
            SegmentReference reference, long revision, List<LogEntry> entries) {
        long sum = 0;
        for (LogEntry entry : entries) {
            sum += entry.size();
        }
        return new SealedSegment(reference, revision, entries, sum);
    }
}
