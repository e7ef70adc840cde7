package org.damasktiller.authority.ownership;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.damasktiller.authority.call.GrantLeaseCall;
import org.damasktiller.authority.call.LeaseGrantedAnswer;
import org.damasktiller.authority.call.LeaseRenewedAnswer;
import org.damasktiller.authority.call.ReadAnswer;
import org.damasktiller.authority.call.ReadCall;
import org.damasktiller.authority.call.RenewLeaseCall;
import org.damasktiller.authority.call.RevokeLeaseCall;
import org.damasktiller.authority.call.StoreAnswer;
import org.damasktiller.authority.call.StoreCall;
import org.damasktiller.authority.call.SwapAnswer;
import org.damasktiller.authority.call.SwapCall;
import org.damasktiller.authority.commit.LogCodec;
import org.damasktiller.authority.commit.LogHead;
import org.damasktiller.authority.commit.LogKeys;
import org.damasktiller.authority.commit.RetryDelay;
import org.damasktiller.store.StoredValue;
import org.damasktiller.store.SwapRequest;
import org.damasktiller.store.SwapResult;
import org.jspecify.annotations.Nullable;

/**
 * Acquires, keeps and releases the ownership of one log. It keeps one call in flight: the caller
 * polls for a call, sends it, and passes back the answer or the failure before it polls again.
 *
 * <p>The owner's record is bound to a store lease, so that only one process at a time holds it. The
 * holder takes over by writing the head with the next generation, and acts only after the lease was
 * found to stand after that write: a process that was paused before the write may spoil the head of
 * the present owner, but it never acts on it. An owner goes on acting without the store for the
 * outage grace, counted from the sending of the latest call that confirmed it.
 *
 * <p>Does no I/O. Not safe for use by several threads.
 */
public final class Ownership {

    /** The first delay after a failed call, in milliseconds. */
    private static final long RETRY_MILLIS = 200;

    /** The longest delay after a failed call, in milliseconds. */
    private static final long MAXIMUM_RETRY_MILLIS = 2_000;

    /** The times. */
    private final OwnershipSettings settings;

    /** The identity of this process. */
    private final OwnerIdentity self;

    /** The names of the keys. */
    private final LogKeys keys;

    /** The codec of the head. */
    private final LogCodec codec;

    /** The delay after failed calls. */
    private final RetryDelay retry = new RetryDelay(RETRY_MILLIS, MAXIMUM_RETRY_MILLIS);

    /** What the ownership is doing. */
    private OwnershipPhase phase = OwnershipPhase.WATCH;

    /** The phase of the latest call; its answer is ignored once the phase was left. */
    private OwnershipPhase sentPhase = OwnershipPhase.WATCH;

    /** Whether a call is in flight. */
    private boolean inFlight;

    /** When the call in flight was sent, in milliseconds. */
    private long sentMillis;

    /** When the next call is due, in milliseconds. */
    private long dueMillis = Long.MIN_VALUE;

    /** When the owner's record was first found absent, in milliseconds, or -1. */
    private long absentSinceMillis = -1;

    /** The store lease, or zero. */
    private long leaseId;

    /** The generation under which this process acts, or zero. */
    private long generation;

    /** When the latest call that confirmed the ownership was sent, in milliseconds. */
    private long confirmedMillis;

    /** The number of times that the owner's record was written. */
    private long claims;

    /** The head being written, or null. */
    private @Nullable LogHead newHead;

    /** The revision of the head that is replaced. */
    private long oldHeadRevision;

    /** The revision of the head that was written. */
    private long newHeadRevision;

    /** The grace of the owners before this one, in milliseconds. */
    private long previousGraceMillis;

    /** The identity text of the owner that was last seen. */
    private String holder = "";

    /** The acquisition that was not yet taken, or null. */
    private @Nullable Acquisition acquisition;

    /**
     * Creates an ownership that looks for the owner.
     *
     * @param settings the times
     * @param self the identity of this process
     * @param keys the names of the keys
     * @param codec the codec of the head
     */
    public Ownership(OwnershipSettings settings, OwnerIdentity self, LogKeys keys, LogCodec codec) {
        this.settings = settings;
        this.self = self;
        this.keys = keys;
        this.codec = codec;
    }

    /**
     * Returns the generation under which this process owns the log.
     *
     * @return the generation, or zero if it does not own the log
     */
    public long generation() {
        return generation;
    }

    /**
     * Tells whether this process may act as the owner.
     *
     * @param nowMillis the time, read after whatever the action rests on, in milliseconds
     * @return whether it owns the log and was confirmed within the outage grace
     */
    public boolean mayAct(long nowMillis) {
        return generation > 0 && nowMillis <= confirmedMillis + settings.outageGraceMillis();
    }

    /**
     * Returns when the latest call that confirmed the ownership was sent.
     *
     * @return the time, in milliseconds
     */
    public long confirmedMillis() {
        return confirmedMillis;
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
     * Tells whether the ownership was given back.
     *
     * @return whether it was released
     */
    public boolean released() {
        return phase == OwnershipPhase.RELEASED;
    }

    /**
     * Returns the identity text of the owner that was last seen.
     *
     * @return the text, or an empty text if none was seen
     */
    public String holder() {
        return holder;
    }

    /**
     * Takes the report of a new acquisition.
     *
     * @return the acquisition, or empty if there is none or it was taken before
     */
    public Optional<Acquisition> takeAcquisition() {
        Optional<Acquisition> taken = Optional.ofNullable(acquisition);
        acquisition = null;
        return taken;
    }

    /** Takes the report that the head was written by another process. */
    public void headLost() {
        if (phase == OwnershipPhase.HOLD) {
            phase = OwnershipPhase.READ_HEAD;
            dueMillis = Long.MIN_VALUE;
        }
        generation = 0;
    }

    /** Asks for a confirmation now instead of at the next renewal. */
    public void confirmNow() {
        if (phase == OwnershipPhase.HOLD) {
            dueMillis = Long.MIN_VALUE;
        }
    }

    /** Stops acting and gives the ownership back. */
    public void release() {
        generation = 0;
        acquisition = null;
        phase = leaseId == 0 ? OwnershipPhase.RELEASED : OwnershipPhase.REVOKE;
        dueMillis = Long.MIN_VALUE;
    }

    /**
     * Returns the next call to send.
     *
     * @param nowMillis the time, in milliseconds
     * @return the call, or empty if there is none to send now
     */
    public Optional<StoreCall> poll(long nowMillis) {
        if (inFlight || nowMillis < dueMillis || !retry.due(nowMillis)) {
            return Optional.empty();
        }
        Optional<StoreCall> call = nextCall();
        inFlight = call.isPresent();
        sentMillis = nowMillis;
        sentPhase = phase;
        return call;
    }

    /**
     * Takes the answer to the call in flight.
     *
     * @param answer the answer
     * @param nowMillis the time, in milliseconds
     */
    public void answered(StoreAnswer answer, long nowMillis) {
        inFlight = false;
        retry.succeeded();
        if (sentPhase != phase) {
            return;
        }
        dueMillis = Long.MIN_VALUE;
        switch (phase) {
            case WATCH -> watched(((ReadAnswer) answer).value(), nowMillis);
            case GRANT -> {
                leaseId = ((LeaseGrantedAnswer) answer).leaseId();
                claims++;
                phase = OwnershipPhase.CLAIM;
            }
            case CLAIM -> claimed(((SwapAnswer) answer).result(), nowMillis);
            case CLAIM_READ_BACK -> claimReadBack(((ReadAnswer) answer).value(), nowMillis);
            case READ_HEAD -> headRead(((ReadAnswer) answer).value(), nowMillis);
            case SWAP_HEAD -> headSwapped(((SwapAnswer) answer).result(), nowMillis);
            case SWAP_HEAD_READ_BACK -> headReadBack(((ReadAnswer) answer).value(), nowMillis);
            case VERIFY -> verified(((LeaseRenewedAnswer) answer).held(), nowMillis);
            case HOLD -> renewed(((LeaseRenewedAnswer) answer).held(), nowMillis);
            default -> phase = OwnershipPhase.RELEASED;
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
        if (sentPhase != phase) {
            return;
        }
        if (phase == OwnershipPhase.CLAIM) {
            phase = OwnershipPhase.CLAIM_READ_BACK;
        } else if (phase == OwnershipPhase.SWAP_HEAD) {
            phase = OwnershipPhase.SWAP_HEAD_READ_BACK;
        }
    }

    /**
     * Returns the call of the phase.
     *
     * @return the call, or empty if the phase has none
     */
    private Optional<StoreCall> nextCall() {
        return Optional.ofNullable(
                switch (phase) {
                    case WATCH, CLAIM_READ_BACK -> new ReadCall(keys.owner());
                    case GRANT -> new GrantLeaseCall(settings.leaseMillis());
                    case CLAIM ->
                            new SwapCall(new SwapRequest(keys.owner(), 0, claimBytes(), leaseId));
                    case READ_HEAD, SWAP_HEAD_READ_BACK -> new ReadCall(keys.head());
                    case SWAP_HEAD -> headCall();
                    case VERIFY, HOLD -> new RenewLeaseCall(leaseId);
                    case REVOKE -> new RevokeLeaseCall(leaseId);
                    case RELEASED -> null;
                });
    }

    /**
     * Returns the write of the new head.
     *
     * @return the call, or null if there is no new head
     */
    private @Nullable StoreCall headCall() {
        if (newHead == null) {
            return null;
        }
        return new SwapCall(
                new SwapRequest(keys.head(), oldHeadRevision, codec.encodeHead(newHead), 0));
    }

    /**
     * Decides after a look at the owner's record.
     *
     * @param record the record, or empty if it is absent
     * @param nowMillis the time, in milliseconds
     */
    private void watched(Optional<StoredValue> record, long nowMillis) {
        if (record.isPresent()) {
            holder = new String(record.get().value(), StandardCharsets.UTF_8);
            standBy(nowMillis);
            return;
        }
        if (absentSinceMillis < 0) {
            absentSinceMillis = nowMillis;
        }
        if (nowMillis - absentSinceMillis < settings.takeoverDelayMillis()) {
            dueMillis = nowMillis + settings.pollMillis();
            return;
        }
        phase = OwnershipPhase.GRANT;
    }

    /**
     * Waits for the owner's record to disappear.
     *
     * @param nowMillis the time, in milliseconds
     */
    private void standBy(long nowMillis) {
        generation = 0;
        leaseId = 0;
        absentSinceMillis = -1;
        phase = OwnershipPhase.WATCH;
        dueMillis = nowMillis + settings.pollMillis();
    }

    /**
     * Decides after the write of the owner's record.
     *
     * @param result the answer
     * @param nowMillis the time, in milliseconds
     */
    private void claimed(SwapResult result, long nowMillis) {
        if (result.applied()) {
            holder = self.text();
            phase = OwnershipPhase.READ_HEAD;
            return;
        }
        claimReadBack(Optional.ofNullable(result.current()), nowMillis);
    }

    /**
     * Decides from the owner's record whether its write took effect.
     *
     * @param record the record, or empty if it is absent
     * @param nowMillis the time, in milliseconds
     */
    private void claimReadBack(Optional<StoredValue> record, long nowMillis) {
        if (record.isEmpty()) {
            phase = OwnershipPhase.GRANT;
            return;
        }
        StoredValue value = record.get();
        if (value.leaseId() == leaseId) {
            holder = self.text();
            phase = OwnershipPhase.READ_HEAD;
            return;
        }
        holder = new String(value.value(), StandardCharsets.UTF_8);
        standBy(nowMillis);
    }

    /**
     * Decides after the head was read: either it still is the head of this owner, or it has to be
     * taken over.
     *
     * @param value the value of the head, or empty if it is absent
     * @param nowMillis the time, in milliseconds
     */
    private void headRead(Optional<StoredValue> value, long nowMillis) {
        LogHead head = value.map(found -> codec.decodeHead(found.value())).orElse(LogHead.EMPTY);
        boolean own = head.generation() == generation && head.owner().equals(self.text());
        if (generation > 0 && own) {
            confirmed(nowMillis);
            return;
        }
        generation = 0;
        oldHeadRevision = value.map(StoredValue::revision).orElse(0L);
        previousGraceMillis = head.graceMillis();
        String identity = self.text() + " takeover " + claims + " " + oldHeadRevision;
        newHead = head.takenOver(self.text(), identity, settings.graceMillis());
        phase = OwnershipPhase.SWAP_HEAD;
    }

    /**
     * Decides after the write of the head.
     *
     * @param result the answer
     * @param nowMillis the time, in milliseconds
     */
    private void headSwapped(SwapResult result, long nowMillis) {
        if (result.applied()) {
            newHeadRevision = result.revision();
            phase = OwnershipPhase.VERIFY;
            return;
        }
        headReadBack(Optional.ofNullable(result.current()), nowMillis);
    }

    /**
     * Decides from the head whether its write took effect.
     *
     * @param value the value of the head, or empty if it is absent
     * @param nowMillis the time, in milliseconds
     */
    private void headReadBack(Optional<StoredValue> value, long nowMillis) {
        long revision = value.map(StoredValue::revision).orElse(0L);
        if (revision == oldHeadRevision) {
            phase = OwnershipPhase.SWAP_HEAD;
            return;
        }
        LogHead found = value.map(each -> codec.decodeHead(each.value())).orElse(LogHead.EMPTY);
        if (newHead != null && found.writeIdentity().equals(newHead.writeIdentity())) {
            newHeadRevision = revision;
            phase = OwnershipPhase.VERIFY;
            return;
        }
        headRead(value, nowMillis);
    }

    /**
     * Decides after the first renewal that follows the takeover of the head.
     *
     * @param held whether the lease still stood
     * @param nowMillis the time, in milliseconds
     */
    private void verified(boolean held, long nowMillis) {
        LogHead head = newHead;
        if (!held || head == null) {
            standBy(nowMillis);
            dueMillis = nowMillis;
            return;
        }
        generation = head.generation();
        acquisition = new Acquisition(head, newHeadRevision, previousGraceMillis);
        confirmed(nowMillis);
    }

    /**
     * Decides after a renewal of the lease.
     *
     * @param held whether the lease still stood
     * @param nowMillis the time, in milliseconds
     */
    private void renewed(boolean held, long nowMillis) {
        if (held) {
            confirmed(nowMillis);
            return;
        }
        phase = OwnershipPhase.GRANT;
    }

    /**
     * Records a confirmation of the ownership.
     *
     * @param nowMillis the time, in milliseconds
     */
    private void confirmed(long nowMillis) {
        confirmedMillis = sentMillis;
        phase = OwnershipPhase.HOLD;
        dueMillis = Math.max(sentMillis + settings.renewMillis(), nowMillis);
    }

    /**
     * Returns the bytes of the owner's record.
     *
     * @return the bytes
     */
    private byte[] claimBytes() {
        return self.text().getBytes(StandardCharsets.UTF_8);
    }
}
