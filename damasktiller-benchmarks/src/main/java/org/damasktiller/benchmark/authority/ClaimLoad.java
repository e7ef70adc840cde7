package org.damasktiller.benchmark.authority;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;
import org.damasktiller.authority.call.SwapCall;
import org.damasktiller.authority.claim.AskClaim;
import org.damasktiller.authority.claim.ClaimAction;
import org.damasktiller.authority.claim.ClaimEvent;
import org.damasktiller.authority.claim.ClaimGranted;
import org.damasktiller.authority.claim.ClaimKey;
import org.damasktiller.authority.claim.ClaimNonce;
import org.damasktiller.authority.claim.ClaimReply;
import org.damasktiller.authority.claim.ClaimSettings;
import org.damasktiller.authority.claim.ClaimShardOwner;
import org.damasktiller.authority.claim.ClaimStoreAnswered;
import org.damasktiller.authority.claim.ClaimStoreRequest;
import org.damasktiller.authority.claim.ClaimTick;
import org.damasktiller.authority.ownership.OwnerIdentity;
import org.damasktiller.identity.KindName;
import org.damasktiller.identity.RequestKey;
import org.damasktiller.identity.TenantName;
import org.damasktiller.identity.VmId;
import org.damasktiller.standin.store.StoreCallHandler;
import org.damasktiller.standin.store.StoreState;
import org.damasktiller.standin.time.VirtualTime;

/**
 * Asks one claim shard for new claims at a steady rate, in virtual time. The store takes two
 * milliseconds each way; the owner gets a tick every ten milliseconds.
 */
public final class ClaimLoad {

    /** How long the store takes each way, in milliseconds. */
    private static final long STORE_MILLIS = 2;

    /** How often the owner gets a tick, in milliseconds. */
    private static final long TICK_MILLIS = 10;

    /** When the load begins, in milliseconds. */
    private static final long BEGIN_MILLIS = 2_000;

    /** How long the last answers are waited for, in milliseconds. */
    private static final long END_MILLIS = 5_000;

    /** Milliseconds in a second. */
    private static final int SECOND_MILLIS = 1_000;

    /** The clock. */
    private final VirtualTime clock = new VirtualTime(0);

    /** The store. */
    private final StoreState store = new StoreState();

    /** The owner that is measured. */
    private final ClaimShardOwner owner;

    /** When the questions without an answer were asked, in milliseconds. */
    private final Map<Long, Long> asked = new HashMap<>();

    /** The time from the question to the grant, in milliseconds. */
    private final Histogram latency = new Histogram(2);

    /** The writes of heads and segments. */
    private long swaps;

    /** The questions that were not granted. */
    private long refused;

    /** The number of questions. */
    private long questions;

    /** The time that the owner took, in nanoseconds. */
    private long ownerNanos;

    /**
     * Creates a load on a new shard.
     *
     * @param settings the settings of the shard
     */
    public ClaimLoad(ClaimSettings settings) {
        this.owner = new ClaimShardOwner(settings, 0, new OwnerIdentity(new VmId("vm"), "load"));
    }

    /**
     * Runs the load.
     *
     * @param claimsPerSecond the rate
     * @param seconds how long it lasts, in seconds
     */
    public void run(int claimsPerSecond, int seconds) {
        clock.after(0, this::tick);
        clock.run(BEGIN_MILLIS, () -> false);
        swaps = 0;
        ownerNanos = 0;
        long count = (long) claimsPerSecond * seconds;
        for (long number = 0; number < count; number++) {
            long at = number * SECOND_MILLIS / claimsPerSecond;
            clock.after(at, this::ask);
        }
        long end = BEGIN_MILLIS + (long) seconds * SECOND_MILLIS + END_MILLIS;
        clock.run(end, () -> questions == count && asked.isEmpty());
    }

    /**
     * Returns the time from the question to the grant.
     *
     * @return the times, in milliseconds
     */
    Histogram latency() {
        return latency;
    }

    /**
     * Returns the writes of heads and segments during the load.
     *
     * @return the number of writes
     */
    long swaps() {
        return swaps;
    }

    /**
     * Returns the questions that were refused or never answered.
     *
     * @return the number of questions
     */
    long notGranted() {
        return refused + asked.size();
    }

    /**
     * Returns the number of questions.
     *
     * @return the number of questions
     */
    long questions() {
        return questions;
    }

    /**
     * Returns the time that the owner took during the load, the encoding included.
     *
     * @return the time, in nanoseconds
     */
    long ownerNanos() {
        return ownerNanos;
    }

    /** Gives the owner its ticks. */
    private void tick() {
        handle(new ClaimTick());
        clock.after(TICK_MILLIS, this::tick);
    }

    /** Asks for a new claim. */
    private void ask() {
        questions++;
        asked.put(questions, clock.nowMillis());
        ClaimKey key =
                new ClaimKey(
                        new TenantName("corrib"),
                        new KindName("billing"),
                        new RequestKey("order-" + questions));
        handle(new AskClaim(questions, key, new ClaimNonce("vm load " + questions)));
    }

    /**
     * Passes an event to the owner and carries out its actions.
     *
     * @param event the event
     */
    private void handle(ClaimEvent event) {
        long begin = System.nanoTime();
        List<ClaimAction> actions = owner.handle(event, clock.nowMillis());
        ownerNanos += System.nanoTime() - begin;
        for (ClaimAction action : actions) {
            if (action instanceof ClaimReply reply) {
                take(reply);
            } else if (action instanceof ClaimStoreRequest request) {
                swaps += request.call() instanceof SwapCall ? 1 : 0;
                clock.after(STORE_MILLIS, () -> atStore(request));
            }
        }
    }

    /**
     * Has the store carry out a call.
     *
     * @param request the call
     */
    private void atStore(ClaimStoreRequest request) {
        ClaimEvent answer =
                new ClaimStoreAnswered(
                        request.callId(),
                        StoreCallHandler.handle(store, request.call(), clock.nowMillis()));
        clock.after(STORE_MILLIS, () -> handle(answer));
    }

    /**
     * Takes a reply.
     *
     * @param reply the reply
     */
    private void take(ClaimReply reply) {
        Long since = asked.remove(reply.replyId());
        if (since == null || !(reply.answer() instanceof ClaimGranted)) {
            refused++;
            return;
        }
        latency.recordValue(clock.nowMillis() - since);
    }
}
