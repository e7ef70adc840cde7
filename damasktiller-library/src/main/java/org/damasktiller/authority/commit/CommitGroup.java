package org.damasktiller.authority.commit;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.damasktiller.authority.call.ReadCall;
import org.damasktiller.authority.call.StoreCall;
import org.damasktiller.authority.call.SwapCall;
import org.damasktiller.store.StoredValue;
import org.damasktiller.store.SwapRequest;

/**
 * Writes one group: first its new segments, one by one, then the head that refers to them. The
 * group is committed once the head is written.
 */
final class CommitGroup {

    /** The codec of the log. */
    private final LogCodec codec;

    /** The names of the keys. */
    private final LogKeys keys;

    /** The revision of the head that the group replaces. */
    private final long oldHeadRevision;

    /** The next version of the log. */
    private final LogPlan plan;

    /** The entries of the group. */
    private final List<LogEntry> batch;

    /** The position of the last entry. */
    private final long through;

    /** The names of the new segments. */
    private final List<SegmentReference> references = new ArrayList<>();

    /** The new segments that are written. */
    private final List<SealedSegment> written = new ArrayList<>();

    /** The head that commits the group. */
    private final LogHead newHead;

    /** The write being made. */
    private SwapRequest request;

    /** Whether the write has to be read back before it is sent again. */
    private boolean readBack;

    /** The revision of the new head, or zero until it is written. */
    private long newHeadRevision;

    /**
     * Creates a group of which nothing is written.
     *
     * @param codec the codec of the log
     * @param keys the names of the keys
     * @param oldHead the head that the group replaces
     * @param oldHeadRevision the revision of that head
     * @param plan the next version of the log
     * @param batch the entries of the group
     * @param through the position of the last entry
     */
    CommitGroup(
            LogCodec codec,
            LogKeys keys,
            LogHead oldHead,
            long oldHeadRevision,
            LogPlan plan,
            List<LogEntry> batch,
            long through) {
        this.codec = codec;
        this.keys = keys;
        this.oldHeadRevision = oldHeadRevision;
        this.plan = plan;
        this.batch = batch;
        this.through = through;
        for (int index = 0; index < plan.added().size(); index++) {
            references.add(
                    new SegmentReference(oldHead.generation(), oldHead.nextSegment() + index));
        }
        this.newHead = makeHead(oldHead, plan, references, through);
        this.request = nextRequest();
    }

    /**
     * Returns the next version of the log.
     *
     * @return the plan
     */
    LogPlan plan() {
        return plan;
    }

    /**
     * Returns the entries of the group.
     *
     * @return the entries
     */
    List<LogEntry> batch() {
        return batch;
    }

    /**
     * Returns the position of the last entry.
     *
     * @return the position
     */
    long through() {
        return through;
    }

    /**
     * Returns the new segments that are written.
     *
     * @return the segments, in order
     */
    List<SealedSegment> written() {
        return written;
    }

    /**
     * Returns the head that commits the group.
     *
     * @return the head
     */
    LogHead newHead() {
        return newHead;
    }

    /**
     * Returns the revision of the new head.
     *
     * @return the revision, or zero until the head is written
     */
    long newHeadRevision() {
        return newHeadRevision;
    }

    /**
     * Tells whether the head is written.
     *
     * @return whether the group is committed
     */
    boolean complete() {
        return newHeadRevision > 0;
    }

    /**
     * Returns the call to send.
     *
     * @return the write, or the read that tells whether it took effect
     */
    StoreCall call() {
        return readBack ? new ReadCall(request.key()) : new SwapCall(request);
    }

    /** Has the write read back before anything else. */
    void readBackNext() {
        readBack = true;
    }

    /** Has the same write sent again. */
    void writeNext() {
        readBack = false;
    }

    /**
     * Goes on after a write that took effect.
     *
     * @param revision the revision of the written key
     */
    void applied(long revision) {
        readBack = false;
        int index = written.size();
        if (index == references.size()) {
            newHeadRevision = revision;
            return;
        }
        written.add(SealedSegment.of(references.get(index), revision, plan.added().get(index)));
        request = nextRequest();
    }

    /**
     * Decides from what the key holds whether the write took effect.
     *
     * @param found the value of the key, or empty if it is absent
     * @return what became of the write
     */
    WriteVerdict judge(Optional<StoredValue> found) {
        if (written.size() < references.size()) {
            return found.isPresent() ? WriteVerdict.APPLIED : WriteVerdict.NOT_APPLIED;
        }
        if (found.isEmpty()) {
            return WriteVerdict.SUPERSEDED;
        }
        if (found.get().revision() == oldHeadRevision) {
            return WriteVerdict.NOT_APPLIED;
        }
        String identity = codec.decodeHead(found.get().value()).writeIdentity();
        return identity.equals(newHead.writeIdentity())
                ? WriteVerdict.APPLIED
                : WriteVerdict.SUPERSEDED;
    }

    /**
     * Makes the write of the next segment, or of the head after the last.
     *
     * @return the write
     */
    private SwapRequest nextRequest() {
        int index = written.size();
        if (index < references.size()) {
            byte[] segment = codec.encodeSegment(plan.added().get(index));
            return new SwapRequest(keys.segment(references.get(index)), 0, segment, 0);
        }
        return new SwapRequest(keys.head(), oldHeadRevision, codec.encodeHead(newHead), 0);
    }

    /**
     * Makes the head that commits the group.
     *
     * @param old the head that the group replaces
     * @param plan the next version of the log
     * @param references the names of the new segments
     * @param through the position of the last entry
     * @return the head
     */
    private static LogHead makeHead(
            LogHead old, LogPlan plan, List<SegmentReference> references, long through) {
        List<SegmentReference> segments = new ArrayList<>();
        plan.kept().forEach(segment -> segments.add(segment.reference()));
        segments.addAll(references);
        return new LogHead(
                old.generation(),
                old.owner(),
                old.owner() + " " + old.generation() + " " + through,
                old.graceMillis(),
                old.nextSegment() + references.size(),
                segments,
                plan.tail());
    }
}
