package org.damasktiller.authority.commit;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;
import java.util.List;

/**
 * Holds the value of the head key: who owns the log, which segments it has, and the latest entries.
 *
 * @param generation the generation of the owner, one higher at each takeover
 * @param owner the identity of the owner
 * @param writeIdentity a text that no other write of this head carries
 * @param graceMillis how long any owner so far may have acted on after its lease lapsed, with the
 *     leases that it granted, in milliseconds
 * @param nextSegment the number of the next segment
 * @param segments the sealed segments, oldest first
 * @param tail the entries after the last segment, oldest first
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
@JsonPropertyOrder({
    "generation",
    "owner",
    "writeIdentity",
    "graceMillis",
    "nextSegment",
    "segments",
    "tail"
})
public record LogHead(
        long generation,
        String owner,
        String writeIdentity,
        long graceMillis,
        long nextSegment,
        List<SegmentReference> segments,
        List<LogEntry> tail) {

    /** The head of a log that was never written. */
    public static final LogHead EMPTY = new LogHead(0, "", "", 0, 1, List.of(), List.of());

    /** Copies the lists. */
    public LogHead {
        segments = List.copyOf(segments);
        tail = List.copyOf(tail);
    }

    /**
     * Returns the head with a new owner and the same log.
     *
     * @param newOwner the identity of the new owner
     * @param identity the identity of the write
     * @param ownGraceMillis how long the new owner may act without the store, in milliseconds
     * @return the head with the next generation
     */
    public LogHead takenOver(String newOwner, String identity, long ownGraceMillis) {
        return new LogHead(
                generation + 1,
                newOwner,
                identity,
                Math.max(graceMillis, ownGraceMillis),
                nextSegment,
                segments,
                tail);
    }
}
