package org.damasktiller.authority.commit;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.damasktiller.authority.call.ReadAnswer;
import org.damasktiller.authority.call.ReadCall;
import org.damasktiller.store.StoredValue;

/**
 * Reads the segments of a head, several at a time. Does no I/O: the caller sends the calls and
 * passes the answers. Not safe for use by several threads.
 */
public final class LogRecovery {

    /** The codec of the segments. */
    private final LogCodec codec;

    /** The names of the keys. */
    private final LogKeys keys;

    /** The head. */
    private final LogHead head;

    /** The revision of the head. */
    private final long headRevision;

    /** The segments to read. */
    private final Deque<SegmentReference> waiting;

    /** The segments that were read. */
    private final Map<SegmentReference, SealedSegment> read = new HashMap<>();

    /** Whether a segment of the head is missing, which means that the head has been replaced. */
    private boolean superseded;

    /**
     * Starts a recovery.
     *
     * @param codec the codec
     * @param keys the names of the keys
     * @param head the head
     * @param headRevision the revision of the head
     */
    public LogRecovery(LogCodec codec, LogKeys keys, LogHead head, long headRevision) {
        this.codec = codec;
        this.keys = keys;
        this.head = head;
        this.headRevision = headRevision;
        this.waiting = new ArrayDeque<>(head.segments());
    }

    /**
     * Takes the next segment to read.
     *
     * @return the segment, or empty if all were taken
     */
    public Optional<SegmentReference> next() {
        return Optional.ofNullable(waiting.poll());
    }

    /**
     * Returns the call that reads a segment.
     *
     * @param reference the segment
     * @return the call
     */
    public ReadCall call(SegmentReference reference) {
        return new ReadCall(keys.segment(reference));
    }

    /**
     * Takes the answer to a read.
     *
     * @param reference the segment
     * @param answer the answer
     */
    public void answered(SegmentReference reference, ReadAnswer answer) {
        if (answer.value().isEmpty()) {
            superseded = true;
            return;
        }
        StoredValue value = answer.value().get();
        read.put(
                reference,
                SealedSegment.of(reference, value.revision(), codec.decodeSegment(value.value())));
    }

    /**
     * Has a segment read again after its read failed.
     *
     * @param reference the segment
     */
    public void failed(SegmentReference reference) {
        waiting.add(reference);
    }

    /**
     * Tells whether the head was found to be replaced.
     *
     * @return whether the recovery cannot succeed
     */
    public boolean superseded() {
        return superseded;
    }

    /**
     * Returns the whole log.
     *
     * @return the log, or empty while segments are missing
     */
    public Optional<LogImage> image() {
        if (read.size() < head.segments().size()) {
            return Optional.empty();
        }
        List<SealedSegment> segments = new ArrayList<>();
        for (SegmentReference reference : head.segments()) {
            SealedSegment segment = read.get(reference);
            if (segment != null) {
                segments.add(segment);
            }
        }
        return Optional.of(new LogImage(head, headRevision, segments));
    }
}
