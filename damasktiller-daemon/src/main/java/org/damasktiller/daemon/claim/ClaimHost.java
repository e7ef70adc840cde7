package org.damasktiller.daemon.claim;

import io.activej.promise.Promise;
import io.activej.promise.Promises;
import io.activej.reactor.Reactor;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.damasktiller.authority.claim.ClaimAnswer;
import org.damasktiller.authority.claim.ClaimGranted;
import org.damasktiller.authority.claim.ClaimKey;
import org.damasktiller.authority.claim.ClaimNonce;
import org.damasktiller.authority.claim.ClaimNonces;
import org.damasktiller.authority.claim.ClaimRefused;
import org.damasktiller.authority.claim.ClaimSettings;
import org.damasktiller.authority.claim.ClaimShardOwner;
import org.damasktiller.authority.claim.ClaimShards;
import org.damasktiller.authority.claim.ClaimTaken;
import org.damasktiller.authority.ownership.OwnerIdentity;
import org.damasktiller.daemon.drive.OwnerEnvironment;
import org.damasktiller.daemon.gateway.ClaimGate;
import org.damasktiller.daemon.gateway.ClaimRequest;
import org.damasktiller.error.ErrorCode;
import org.damasktiller.identity.VmId;
import org.damasktiller.routing.ClaimOutcome;

/**
 * Claims at-most-once requests for the gateway and hosts the owners of claim shards, active or
 * standing by. Used on its reactor's thread only.
 */
public final class ClaimHost implements ClaimGate {

    /** How long to wait before a claim without an answer is asked for again, in milliseconds. */
    private static final long ASK_AGAIN_MILLIS = 250;

    /** The reactor that gives the time and the timers. */
    private final Reactor reactor;

    /** The shard of each key. */
    private final ClaimShards shards;

    /** The nonces of this process. */
    private final ClaimNonces nonces;

    /** The drivers by shard. */
    private final List<ClaimDriver> drivers = new ArrayList<>();

    /** Reaches the owners on other entry VMs. */
    private final ClaimPeers peers;

    /**
     * Creates a host that stands by for every shard.
     *
     * @param shards the shards
     * @param self the identity of this process
     * @param settings the times and bounds of owners
     * @param environment what the owners need from their entry VM
     * @param peers reaches the owners on other entry VMs
     */
    public ClaimHost(
            ClaimShards shards,
            OwnerIdentity self,
            ClaimSettings settings,
            OwnerEnvironment environment,
            ClaimPeers peers) {
        this.reactor = environment.reactor();
        this.shards = shards;
        this.nonces = new ClaimNonces(self);
        this.peers = peers;
        for (int shard = 0; shard < shards.count(); shard++) {
            drivers.add(new ClaimDriver(new ClaimShardOwner(settings, shard, self), environment));
        }
    }

    /** Starts to stand by. */
    public void start() {
        drivers.forEach(ClaimDriver::start);
    }

    /** Stops without giving shards back. */
    public void stop() {
        drivers.forEach(ClaimDriver::stop);
    }

    /**
     * Gives all shards back.
     *
     * @return completed once they are given back
     */
    public Promise<Void> drain() {
        return Promises.all(drivers.stream().map(ClaimDriver::drain));
    }

    @Override
    public Promise<ClaimOutcome> claim(ClaimRequest request) {
        ClaimKey key = new ClaimKey(request.tenant(), request.kind(), request.key());
        return ask(key, nonces.next(), request.deadlineMillis());
    }

    /**
     * Asks the owner of a shard on this VM, for a forwarder on another.
     *
     * @param key what to claim
     * @param nonce the try
     * @return the answer
     */
    public Promise<ClaimAnswer> askHere(ClaimKey key, ClaimNonce nonce) {
        return driver(key).ask(key, nonce);
    }

    /**
     * Passes on to the owner on this VM that a request was not sent and never will be.
     *
     * @param key what was claimed
     * @param nonce the try
     */
    public void releaseHere(ClaimKey key, ClaimNonce nonce) {
        driver(key).release(key, nonce);
    }

    /**
     * Passes on to the owner on this VM that a request was answered.
     *
     * @param key what was claimed
     * @param nonce the try
     */
    public void completeHere(ClaimKey key, ClaimNonce nonce) {
        driver(key).complete(key, nonce);
    }

    /**
     * Asks for a claim, again and again with the same nonce until the deadline.
     *
     * @param key what to claim
     * @param nonce the try
     * @param deadlineMillis when the caller stops to wait, in milliseconds
     * @return how the claim ended
     */
    private Promise<ClaimOutcome> ask(ClaimKey key, ClaimNonce nonce, long deadlineMillis) {
        return askOwner(key, nonce)
                .map(
                        answer -> answer,
                        exception ->
                                new ClaimRefused(ErrorCode.STORE_UNAVAILABLE, "", ASK_AGAIN_MILLIS))
                .then(answer -> follow(answer, key, nonce, deadlineMillis));
    }

    /**
     * Decides on an answer of the owner.
     *
     * @param answer the answer
     * @param key what to claim
     * @param nonce the try
     * @param deadlineMillis when the caller stops to wait, in milliseconds
     * @return how the claim ended
     */
    private Promise<ClaimOutcome> follow(
            ClaimAnswer answer, ClaimKey key, ClaimNonce nonce, long deadlineMillis) {
        if (answer instanceof ClaimGranted) {
            return Promise.of(ClaimOutcome.GRANTED);
        }
        if (answer instanceof ClaimTaken) {
            return Promise.of(ClaimOutcome.ALREADY_CLAIMED);
        }
        ClaimRefused refused = (ClaimRefused) answer;
        long againMillis = reactor.currentTimeMillis() + refused.retryAfterMillis();
        boolean passing =
                refused.code() == ErrorCode.NOT_OWNER || refused.code() == ErrorCode.DRAINING;
        if (!passing || againMillis >= deadlineMillis) {
            release(key, nonce);
            return Promise.of(ClaimOutcome.UNAVAILABLE);
        }
        return Promises.delay(reactor, refused.retryAfterMillis())
                .then(ignored -> ask(key, nonce, deadlineMillis));
    }

    /**
     * Asks the owner of the shard of a key, on this VM or another.
     *
     * @param key what to claim
     * @param nonce the try
     * @return the answer
     */
    private Promise<ClaimAnswer> askOwner(ClaimKey key, ClaimNonce nonce) {
        ClaimDriver driver = driver(key);
        Optional<VmId> owner = driver.remoteOwner();
        return owner.isPresent() ? peers.ask(owner.get(), key, nonce) : driver.ask(key, nonce);
    }

    /**
     * Tells the owner that a request was not sent and never will be under its nonce.
     *
     * @param key what was claimed
     * @param nonce the try
     */
    private void release(ClaimKey key, ClaimNonce nonce) {
        ClaimDriver driver = driver(key);
        Optional<VmId> owner = driver.remoteOwner();
        if (owner.isPresent()) {
            peers.release(owner.get(), key, nonce);
        } else {
            driver.release(key, nonce);
        }
    }

    /**
     * Returns the driver of the shard of a key.
     *
     * @param key the key
     * @return the driver
     */
    private ClaimDriver driver(ClaimKey key) {
        return drivers.get(shards.shardOf(key));
    }
}
