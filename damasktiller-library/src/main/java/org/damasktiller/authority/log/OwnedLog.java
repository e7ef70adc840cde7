package org.damasktiller.authority.log;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.damasktiller.authority.call.ReadAnswer;
import org.damasktiller.authority.call.StoreAnswer;
import org.damasktiller.authority.call.StoreCall;
import org.damasktiller.authority.commit.CommitSettings;
import org.damasktiller.authority.commit.GroupCommitter;
import org.damasktiller.authority.commit.LogCodec;
import org.damasktiller.authority.commit.LogImage;
import org.damasktiller.authority.commit.LogKeys;
import org.damasktiller.authority.commit.LogRecovery;
import org.damasktiller.authority.commit.SegmentReference;
import org.damasktiller.authority.ownership.Acquisition;
import org.damasktiller.authority.ownership.OwnerIdentity;
import org.damasktiller.authority.ownership.Ownership;
import org.damasktiller.authority.ownership.OwnershipSettings;
import org.jspecify.annotations.Nullable;

/**
 * Owns one log, or stands by to own it: acquires the ownership, recovers the log, and offers a
 * committer for as long as the ownership lasts. The committer is another object in each term, so
 * that an owner of the log notices the change.
 *
 * <p>The caller sends the calls of {@link #poll} and passes back their answers. A call without an
 * answer counts as failed after a timeout; an answer after that, or a second answer, is ignored.
 * Does no I/O. Not safe for use by several threads.
 */
public final class OwnedLog {

    /** The segments that a recovery reads at once. */
    private static final int PARALLEL_READS = 8;

    /** The sizes and the pace of the commits. */
    private final CommitSettings commit;

    /** The names of the keys. */
    private final LogKeys keys;

    /** How long to wait for an answer, in milliseconds. */
    private final long timeoutMillis;

    /** The codec of the log. */
    private final LogCodec codec = new LogCodec();

    /** The ownership. */
    private final Ownership ownership;

    /** The calls whose answers are awaited. */
    private final Map<Long, AwaitedCall> awaited = new HashMap<>();

    /** The latest number given to a call. */
    private long lastCallId;

    /** The committer of the present term, or null. */
    private @Nullable GroupCommitter committer;

    /** The recovery in progress, or null. */
    private @Nullable LogRecovery recovery;

    /** The generation of the recovery or of the term. */
    private long generation;

    /** The segment reads in flight. */
    private int readsInFlight;

    /**
     * Creates a log that is not owned yet.
     *
     * @param times the times of the ownership
     * @param commit the sizes and the pace of the commits
     * @param self the identity of this process
     * @param keys the names of the keys
     * @param timeoutMillis how long to wait for an answer, in milliseconds
     */
    public OwnedLog(
            OwnershipSettings times,
            CommitSettings commit,
            OwnerIdentity self,
            LogKeys keys,
            long timeoutMillis) {
        this.commit = commit;
        this.keys = keys;
        this.timeoutMillis = timeoutMillis;
        this.ownership = new Ownership(times, self, keys, codec);
    }

    /**
     * Returns the committer of the present term.
     *
     * @return the committer, or empty while the log is not owned or not recovered
     */
    public Optional<GroupCommitter> committer() {
        return Optional.ofNullable(committer);
    }

    /**
     * Tells whether the latest call of the ownership or of the committer failed.
     *
     * @return whether the store does not answer
     */
    public boolean failing() {
        return ownership.failing() || (committer != null && committer.failing());
    }

    /**
     * Returns the identity text of the process that was last seen to own the log.
     *
     * @return the text, or an empty text if none was seen
     */
    public String holder() {
        return ownership.holder();
    }

    /**
     * Tells whether the ownership was given back.
     *
     * @return whether it was released
     */
    public boolean released() {
        return ownership.released();
    }

    /** Ends the term and gives the ownership back. */
    public void release() {
        ownership.release();
        endTerm();
        endRecovery();
    }

    /**
     * Takes the answer to a call.
     *
     * @param callId the number of the call
     * @param answer the answer
     * @param nowMillis the time, in milliseconds
     */
    public void answered(long callId, StoreAnswer answer, long nowMillis) {
        AwaitedCall call = awaited.remove(callId);
        if (call == null) {
            return;
        }
        if (call.part() == LogPart.OWNERSHIP) {
            ownership.answered(answer, nowMillis);
        } else if (call.part() == LogPart.COMMITTER && committer != null) {
            committer.answered(answer);
        } else if (recovery != null && call.segment() != null) {
            readsInFlight--;
            recovery.answered(call.segment(), (ReadAnswer) answer);
        }
        follow();
    }

    /**
     * Takes the failure of a call, which may have taken effect or may yet.
     *
     * @param callId the number of the call
     * @param nowMillis the time, in milliseconds
     */
    public void failed(long callId, long nowMillis) {
        AwaitedCall call = awaited.remove(callId);
        if (call == null) {
            return;
        }
        if (call.part() == LogPart.OWNERSHIP) {
            ownership.failed(nowMillis);
        } else if (call.part() == LogPart.COMMITTER && committer != null) {
            committer.failed(nowMillis);
        } else if (recovery != null && call.segment() != null) {
            readsInFlight--;
            recovery.failed(call.segment());
        }
        follow();
    }

    /**
     * Fails the calls whose answers are overdue and takes the calls to send now.
     *
     * @param nowMillis the time, in milliseconds
     * @return the calls, in order
     */
    public List<NumberedCall> poll(long nowMillis) {
        expire(nowMillis);
        List<NumberedCall> calls = new ArrayList<>();
        ownership
                .poll(nowMillis)
                .ifPresent(call -> calls.add(number(LogPart.OWNERSHIP, null, call, nowMillis)));
        if (committer != null) {
            committer
                    .poll(nowMillis)
                    .ifPresent(call -> calls.add(number(LogPart.COMMITTER, null, call, nowMillis)));
        }
        pollRecovery(nowMillis, calls);
        return calls;
    }

    /**
     * Takes the reads of the recovery to send now.
     *
     * @param nowMillis the time, in milliseconds
     * @param calls where the reads go
     */
    private void pollRecovery(long nowMillis, List<NumberedCall> calls) {
        LogRecovery present = recovery;
        while (present != null && readsInFlight < PARALLEL_READS) {
            Optional<SegmentReference> segment = present.next();
            if (segment.isEmpty()) {
                return;
            }
            readsInFlight++;
            StoreCall call = present.call(segment.get());
            calls.add(number(LogPart.RECOVERY, segment.get(), call, nowMillis));
        }
    }

    /**
     * Gives a call its number.
     *
     * @param part the part that asked for it
     * @param segment the segment that it reads, or null
     * @param call the call
     * @param nowMillis the time, in milliseconds
     * @return the numbered call
     */
    private NumberedCall number(
            LogPart part, @Nullable SegmentReference segment, StoreCall call, long nowMillis) {
        lastCallId++;
        awaited.put(lastCallId, new AwaitedCall(part, segment, nowMillis));
        return new NumberedCall(lastCallId, call);
    }

    /**
     * Fails the calls whose answers are overdue.
     *
     * @param nowMillis the time, in milliseconds
     */
    private void expire(long nowMillis) {
        List<Long> overdue = new ArrayList<>();
        awaited.forEach(
                (callId, call) -> {
                    if (nowMillis - call.sentMillis() > timeoutMillis) {
                        overdue.add(callId);
                    }
                });
        overdue.forEach(callId -> failed(callId, nowMillis));
    }

    /** Begins or ends a term as the ownership and the recovery say. */
    private void follow() {
        if (committer != null && committer.lost()) {
            ownership.headLost();
        }
        if (generation != ownership.generation()) {
            endTerm();
            endRecovery();
        }
        ownership.takeAcquisition().ifPresent(this::beginRecovery);
        LogRecovery reading = recovery;
        if (reading == null) {
            return;
        }
        if (reading.superseded()) {
            ownership.headLost();
            endRecovery();
            return;
        }
        reading.image().ifPresent(this::beginTerm);
    }

    /**
     * Begins to read the log.
     *
     * @param acquisition the acquisition
     */
    private void beginRecovery(Acquisition acquisition) {
        generation = acquisition.head().generation();
        recovery = new LogRecovery(codec, keys, acquisition.head(), acquisition.headRevision());
    }

    /**
     * Begins a term with the recovered log.
     *
     * @param image the log
     */
    private void beginTerm(LogImage image) {
        endRecovery();
        committer = new GroupCommitter(commit, codec, keys, image);
    }

    /** Forgets the recovery; answers to its reads are ignored. */
    private void endRecovery() {
        recovery = null;
        readsInFlight = 0;
        awaited.values().removeIf(call -> call.part() == LogPart.RECOVERY);
    }

    /** Ends the term; answers to the writes of its committer are ignored. */
    private void endTerm() {
        committer = null;
        generation = 0;
        awaited.values().removeIf(call -> call.part() == LogPart.COMMITTER);
    }
}
