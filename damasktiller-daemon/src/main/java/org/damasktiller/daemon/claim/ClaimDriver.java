package org.damasktiller.daemon.claim;

import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import java.util.List;
import java.util.Optional;
import org.damasktiller.authority.call.StoreCalls;
import org.damasktiller.authority.claim.AskClaim;
import org.damasktiller.authority.claim.ClaimAction;
import org.damasktiller.authority.claim.ClaimAnswer;
import org.damasktiller.authority.claim.ClaimEvent;
import org.damasktiller.authority.claim.ClaimKey;
import org.damasktiller.authority.claim.ClaimNonce;
import org.damasktiller.authority.claim.ClaimReply;
import org.damasktiller.authority.claim.ClaimShardOwner;
import org.damasktiller.authority.claim.ClaimStoreAnswered;
import org.damasktiller.authority.claim.ClaimStoreFailed;
import org.damasktiller.authority.claim.ClaimStoreRequest;
import org.damasktiller.authority.claim.ClaimTick;
import org.damasktiller.authority.claim.ClaimsReleased;
import org.damasktiller.authority.claim.CompleteClaim;
import org.damasktiller.authority.claim.DrainClaims;
import org.damasktiller.authority.claim.ReleaseClaim;
import org.damasktiller.daemon.drive.OwnerEnvironment;
import org.damasktiller.daemon.drive.OwnerLoop;
import org.damasktiller.daemon.drive.PendingReplies;
import org.damasktiller.identity.VmId;
import org.damasktiller.store.KeyValueStore;

/**
 * Drives the owner of one claim shard. Every public method is called on the reactor's thread; the
 * owner itself runs on the pool, and what it tells is passed on in volatile fields.
 */
final class ClaimDriver {

    /** Gives the owner its events. */
    private final OwnerLoop<ClaimEvent, ClaimAction> loop;

    /** The key-value service. */
    private final KeyValueStore store;

    /** The forwarders that wait for an answer. */
    private final PendingReplies<ClaimAnswer> replies = new PendingReplies<>();

    /** Completed once the shard is given back. */
    private final SettablePromise<Void> released = new SettablePromise<>();

    /** Whether the owner held the shard after its latest event. */
    private volatile boolean active;

    /** The process last seen to own the shard. */
    private volatile String holder = "";

    /**
     * Creates a driver.
     *
     * @param owner the owner of the shard, not to be used by anyone else
     * @param environment what the driver needs from the entry VM
     */
    ClaimDriver(ClaimShardOwner owner, OwnerEnvironment environment) {
        this.store = environment.store();
        this.loop =
                new OwnerLoop<>(
                        environment,
                        (event, nowMillis) -> handle(owner, event, nowMillis),
                        ClaimTick::new,
                        this::carryOut);
    }

    /** Starts to give the owner its ticks. */
    void start() {
        loop.start();
    }

    /** Stops without giving the shard back. */
    void stop() {
        loop.stop();
    }

    /**
     * Asks for a claim.
     *
     * @param key what to claim
     * @param nonce the try
     * @return the answer
     */
    Promise<ClaimAnswer> ask(ClaimKey key, ClaimNonce nonce) {
        return replies.ask(number -> loop.post(new AskClaim(number, key, nonce)));
    }

    /**
     * Notes that a request was not sent and never will be under its nonce.
     *
     * @param key what was claimed
     * @param nonce the try
     */
    void release(ClaimKey key, ClaimNonce nonce) {
        loop.post(new ReleaseClaim(key, nonce));
    }

    /**
     * Notes that a request was answered.
     *
     * @param key what was claimed
     * @param nonce the try
     */
    void complete(ClaimKey key, ClaimNonce nonce) {
        loop.post(new CompleteClaim(key, nonce));
    }

    /**
     * Gives the shard back.
     *
     * @return completed once it is given back
     */
    Promise<Void> drain() {
        loop.post(new DrainClaims());
        return released;
    }

    /**
     * Tells the entry VM that was last seen to own the shard, if it is another one.
     *
     * @return the entry VM, or empty if the owner here is the one to ask
     */
    Optional<VmId> remoteOwner() {
        if (active || holder.isEmpty()) {
            return Optional.empty();
        }
        int end = holder.indexOf(' ');
        return Optional.of(new VmId(end < 0 ? holder : holder.substring(0, end)));
    }

    /**
     * Passes an event to the owner and notes what it tells; runs on the pool.
     *
     * @param owner the owner
     * @param event the event
     * @param nowMillis the time, in milliseconds
     * @return the owner's actions
     */
    private List<ClaimAction> handle(ClaimShardOwner owner, ClaimEvent event, long nowMillis) {
        List<ClaimAction> actions = owner.handle(event, nowMillis);
        active = owner.active();
        holder = owner.holder();
        return actions;
    }

    /**
     * Carries out one action.
     *
     * @param action the action
     */
    private void carryOut(ClaimAction action) {
        if (action instanceof ClaimReply reply) {
            replies.answer(reply.replyId(), reply.answer());
        } else if (action instanceof ClaimStoreRequest request) {
            StoreCalls.send(store, request.call())
                    .whenResult(
                            answer -> loop.post(new ClaimStoreAnswered(request.callId(), answer)))
                    .whenException(exception -> loop.post(new ClaimStoreFailed(request.callId())));
        } else if (action instanceof ClaimsReleased) {
            released.trySet(null);
        }
    }
}
