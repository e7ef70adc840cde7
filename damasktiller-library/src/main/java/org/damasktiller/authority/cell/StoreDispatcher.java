package org.damasktiller.authority.cell;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.damasktiller.authority.call.ReadAnswer;
import org.damasktiller.authority.call.StoreAnswer;
import org.damasktiller.authority.call.StoreCall;
import org.damasktiller.authority.commit.GroupCommitter;
import org.damasktiller.authority.commit.LogRecovery;
import org.damasktiller.authority.commit.SegmentReference;
import org.damasktiller.authority.ownership.Ownership;
import org.jspecify.annotations.Nullable;

/**
 * Passes calls to the key-value service from the parts of an owner to its driver, and the answers
 * back. A call without an answer counts as failed after a timeout; an answer after that, or a
 * second answer, is ignored.
 */
final class StoreDispatcher {

    /** The segments that a recovery reads at once. */
    private static final int PARALLEL_READS = 8;

    /** The ownership. */
    private final Ownership ownership;

    /** How long to wait for an answer, in milliseconds. */
    private final long timeoutMillis;

    /** The source of call numbers. */
    private final LongSupplier callIds;

    /** The calls whose answers are awaited. */
    private final Map<Long, OpenCall> open = new HashMap<>();

    /** The committer of the present term, or null. */
    private @Nullable GroupCommitter committer;

    /** The recovery in progress, or null. */
    private @Nullable LogRecovery recovery;

    /** The segment reads in flight. */
    private int readsInFlight;

    /**
     * Creates a dispatcher without open calls.
     *
     * @param ownership the ownership
     * @param timeoutMillis how long to wait for an answer, in milliseconds
     * @param callIds the source of call numbers
     */
    StoreDispatcher(Ownership ownership, long timeoutMillis, LongSupplier callIds) {
        this.ownership = ownership;
        this.timeoutMillis = timeoutMillis;
        this.callIds = callIds;
    }

    /**
     * Serves another committer; answers to the one before are ignored.
     *
     * @param next the committer, or null for none
     */
    void serveCommitter(@Nullable GroupCommitter next) {
        committer = next;
        open.values().removeIf(call -> call.part() == StorePart.COMMITTER);
    }

    /**
     * Serves another recovery; answers to the one before are ignored.
     *
     * @param next the recovery, or null for none
     */
    void serveRecovery(@Nullable LogRecovery next) {
        recovery = next;
        readsInFlight = 0;
        open.values().removeIf(call -> call.part() == StorePart.RECOVERY);
    }

    /**
     * Takes an answer.
     *
     * @param callId the number of the call
     * @param answer the answer
     * @param nowMillis the time, in milliseconds
     */
    void answered(long callId, StoreAnswer answer, long nowMillis) {
        OpenCall call = open.remove(callId);
        if (call == null) {
            return;
        }
        if (call.part() == StorePart.OWNERSHIP) {
            ownership.answered(answer, nowMillis);
        } else if (call.part() == StorePart.COMMITTER && committer != null) {
            committer.answered(answer);
        } else if (recovery != null && call.segment() != null) {
            readsInFlight--;
            recovery.answered(call.segment(), (ReadAnswer) answer);
        }
    }

    /**
     * Takes the failure of a call.
     *
     * @param callId the number of the call
     * @param nowMillis the time, in milliseconds
     */
    void failed(long callId, long nowMillis) {
        OpenCall call = open.remove(callId);
        if (call == null) {
            return;
        }
        if (call.part() == StorePart.OWNERSHIP) {
            ownership.failed(nowMillis);
        } else if (call.part() == StorePart.COMMITTER && committer != null) {
            committer.failed(nowMillis);
        } else if (recovery != null && call.segment() != null) {
            readsInFlight--;
            recovery.failed(call.segment());
        }
    }

    /**
     * Fails the calls whose answers are overdue.
     *
     * @param nowMillis the time, in milliseconds
     */
    void expire(long nowMillis) {
        List<Long> overdue = new ArrayList<>();
        open.forEach(
                (callId, call) -> {
                    if (nowMillis - call.sentMillis() > timeoutMillis) {
                        overdue.add(callId);
                    }
                });
        overdue.forEach(callId -> failed(callId, nowMillis));
    }

    /**
     * Takes the calls to send now.
     *
     * @param nowMillis the time, in milliseconds
     * @param actions where the calls go
     */
    void poll(long nowMillis, List<CellAction> actions) {
        ownership
                .poll(nowMillis)
                .ifPresent(call -> send(StorePart.OWNERSHIP, null, call, nowMillis, actions));
        if (committer != null) {
            committer
                    .poll(nowMillis)
                    .ifPresent(call -> send(StorePart.COMMITTER, null, call, nowMillis, actions));
        }
        LogRecovery present = recovery;
        while (present != null && readsInFlight < PARALLEL_READS) {
            Optional<SegmentReference> segment = present.next();
            if (segment.isEmpty()) {
                return;
            }
            readsInFlight++;
            send(
                    StorePart.RECOVERY,
                    segment.get(),
                    present.call(segment.get()),
                    nowMillis,
                    actions);
        }
    }

    /**
     * Sends a call.
     *
     * @param part the part that asked for it
     * @param segment the segment that it reads, or null
     * @param call the call
     * @param nowMillis the time, in milliseconds
     * @param actions where the call goes
     */
    private void send(
            StorePart part,
            @Nullable SegmentReference segment,
            StoreCall call,
            long nowMillis,
            List<CellAction> actions) {
        long callId = callIds.getAsLong();
        open.put(callId, new OpenCall(part, segment, nowMillis));
        actions.add(new StoreRequest(callId, call));
    }
}
