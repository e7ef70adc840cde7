package org.damasktiller.authority.commit;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.damasktiller.authority.call.ReadAnswer;
import org.damasktiller.authority.call.ReadCall;
import org.damasktiller.authority.call.StoreAnswer;
import org.damasktiller.authority.call.StoreCall;
import org.damasktiller.authority.call.SwapAnswer;
import org.damasktiller.authority.call.SwapCall;
import org.damasktiller.store.StoredValue;
import org.damasktiller.store.SwapRequest;
import org.damasktiller.store.SwapResult;
import org.jspecify.annotations.Nullable;

/**
 * Commits entries in groups to the log of one owner. It keeps one call in flight: the caller polls
 * for a call, sends it, and passes back the answer or the failure before it polls again. Entries
 * are committed in the order of their positions.
 *
 * <p>A write whose answer was lost is read back and recognised by its identity. If it did not take
 * effect, the very same write is sent again: of the two at most one can take effect, since both
 * expect the same revision. Does no I/O. Not safe for use by several threads.
 */
public final class GroupCommitter {

    /** The sizes and the pace. */
    private final CommitSettings settings;

    /** The codec of the log. */
    private final LogCodec codec;

    /** The names of the keys. */
    private final LogKeys keys;

    /** The committed log. */
    private final LogIndex index;

    /** The pace of the writes. */
    private final CommitPace pace;

    /** The delay after failed calls. */
    private final RetryDelay retry;

    /** The entries that are in no group yet. */
    private final Deque<PendingEntry> pending = new ArrayDeque<>();

    /** The keys to delete, which no head refers to. */
    private final Deque<SwapRequest> garbage = new ArrayDeque<>();

    /** The committed head. */
    private LogHead head;

    /** The revision of the committed head. */
    private long headRevision;

    /** The position of the latest entry that was appended. */
    private long appended;

    /** The position of the latest entry that was committed. */
    private long committed;

    /** The number of heads written. */
    private long headWrites;

    /** The group being written, or null. */
    private @Nullable CommitGroup group;

    /** Whether a call is in flight. */
    private boolean inFlight;

    /** Whether the log belongs to another owner. */
    private boolean lost;

    /**
     * Creates a committer for a log that this owner took over.
     *
     * @param settings the sizes and the pace
     * @param codec the codec of the log
     * @param keys the names of the keys
     * @param image the log, whose head this owner wrote
     */
    public GroupCommitter(CommitSettings settings, LogCodec codec, LogKeys keys, LogImage image) {
        this.settings = settings;
        this.codec = codec;
        this.keys = keys;
        this.index = new LogIndex(settings, image);
        this.pace = new CommitPace(settings.writesPerSecond(), settings.burstWrites());
        this.retry =
                new RetryDelay(settings.retryDelayMillis(), settings.maximumRetryDelayMillis());
        this.head = image.head();
        this.headRevision = image.headRevision();
    }

    /**
     * Returns the current entry of every key.
     *
     * @return the entries, in no particular order
     */
    public List<LogEntry> currentEntries() {
        return index.currentEntries();
    }

    /**
     * Appends an entry.
     *
     * @param entry the entry, smaller than a group
     * @return its position, one higher than that of the entry before
     */
    public long append(LogEntry entry) {
        if (entry.size() > settings.sealBytes()) {
            throw new IllegalArgumentException("entry of " + entry.size() + " bytes is too large");
        }
        appended++;
        pending.add(new PendingEntry(appended, entry));
        return appended;
    }

    /**
     * Takes back an entry that is in no group yet.
     *
     * @param position the position of the entry
     * @return whether the entry was taken back and will never be written
     */
    public boolean withdraw(long position) {
        return pending.removeIf(entry -> entry.position() == position);
    }

    /**
     * Lets the log drop the entry of a key, which must not be pending.
     *
     * @param key the key
     */
    public void forget(String key) {
        index.forget(key);
    }

    /**
     * Returns the position up to which all entries are committed.
     *
     * @return the position, zero if none is
     */
    public long committed() {
        return committed;
    }

    /**
     * Tells whether another owner has taken over the log.
     *
     * @return whether nothing can be committed any more
     */
    public boolean lost() {
        return lost;
    }

    /**
     * Tells whether nothing is being written and nothing waits to be committed.
     *
     * @return whether all entries are committed
     */
    public boolean idle() {
        return group == null && pending.isEmpty() && !inFlight;
    }

    /**
     * Tells whether the latest call failed.
     *
     * @return whether the store does not answer
     */
    public boolean failing() {
        return retry.failing();
    }

    /**
     * Returns the committed head.
     *
     * @return the head
     */
    public LogHead head() {
        return head;
    }

    /**
     * Returns the number of heads written.
     *
     * @return the number of groups
     */
    public long headWrites() {
        return headWrites;
    }

    /**
     * Returns the next call to send.
     *
     * @param nowMillis the time, in milliseconds
     * @return the call, or empty if there is none to send now
     */
    public Optional<StoreCall> poll(long nowMillis) {
        if (lost || inFlight || !retry.due(nowMillis)) {
            return Optional.empty();
        }
        if (group == null && !pending.isEmpty() && pace.due(nowMillis)) {
            group = nextGroup();
        }
        Optional<StoreCall> call =
                group != null ? Optional.of(group.call()) : garbageCall(nowMillis);
        inFlight = call.isPresent();
        if (call.isPresent() && !(call.get() instanceof ReadCall)) {
            pace.wrote(nowMillis);
        }
        return call;
    }

    /**
     * Takes the answer to the call in flight.
     *
     * @param answer the answer
     */
    public void answered(StoreAnswer answer) {
        inFlight = false;
        retry.succeeded();
        if (group == null) {
            garbage.poll();
            return;
        }
        if (answer instanceof ReadAnswer read) {
            readBack(group, read.value());
        } else if (answer instanceof SwapAnswer swap) {
            swapped(group, swap.result());
        }
    }

    /**
     * Takes the failure of the call in flight, which may have taken effect.
     *
     * @param nowMillis the time, in milliseconds
     */
    public void failed(long nowMillis) {
        inFlight = false;
        retry.failed(nowMillis);
        if (group != null) {
            group.readBackNext();
        }
    }

    /**
     * Takes the next group from the pending entries.
     *
     * @return the group
     */
    private CommitGroup nextGroup() {
        List<LogEntry> batch = new ArrayList<>();
        long size = 0;
        long through = committed;
        while (!pending.isEmpty()) {
            PendingEntry first = pending.element();
            size += first.entry().size();
            if (!batch.isEmpty() && size > settings.batchBytes()) {
                break;
            }
            batch.add(first.entry());
            through = first.position();
            pending.remove();
        }
        return new CommitGroup(codec, keys, head, headRevision, index.plan(batch), batch, through);
    }

    /**
     * Returns the call that deletes a key which no head refers to.
     *
     * @param nowMillis the time, in milliseconds
     * @return the call, or empty if there is none to send now
     */
    private Optional<StoreCall> garbageCall(long nowMillis) {
        if (garbage.isEmpty() || !pace.due(nowMillis)) {
            return Optional.empty();
        }
        return Optional.of(new SwapCall(garbage.element()));
    }

    /**
     * Takes the answer to a write of the group.
     *
     * @param current the group
     * @param result the answer
     */
    private void swapped(CommitGroup current, SwapResult result) {
        if (result.applied()) {
            current.applied(result.revision());
            finishGroup(current);
            return;
        }
        readBack(current, Optional.ofNullable(result.current()));
    }

    /**
     * Decides from what the key holds whether the write of the group took effect.
     *
     * @param current the group
     * @param found the value of the key, or empty if it is absent
     */
    private void readBack(CommitGroup current, Optional<StoredValue> found) {
        switch (current.judge(found)) {
            case APPLIED -> {
                current.applied(found.orElseThrow().revision());
                finishGroup(current);
            }
            case NOT_APPLIED -> current.writeNext();
            default -> lost = true;
        }
    }

    /**
     * Puts the group in force if its head is written.
     *
     * @param current the group
     */
    private void finishGroup(CommitGroup current) {
        if (!current.complete()) {
            return;
        }
        head = current.newHead();
        headRevision = current.newHeadRevision();
        headWrites++;
        index.committed(current.plan(), current.written(), current.batch());
        committed = current.through();
        for (SealedSegment segment : current.plan().dropped()) {
            garbage.add(
                    new SwapRequest(
                            keys.segment(segment.reference()), segment.revision(), null, 0));
        }
        group = null;
    }
}
