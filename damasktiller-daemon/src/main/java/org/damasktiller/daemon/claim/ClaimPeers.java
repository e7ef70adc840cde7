package org.damasktiller.daemon.claim;

import io.activej.promise.Promise;
import org.damasktiller.authority.claim.ClaimAnswer;
import org.damasktiller.authority.claim.ClaimKey;
import org.damasktiller.authority.claim.ClaimNonce;
import org.damasktiller.identity.VmId;

/** Reaches the owners of claim shards on other entry VMs. */
public interface ClaimPeers {

    /**
     * Asks for a claim.
     *
     * @param owner the entry VM of the owner
     * @param key what to claim
     * @param nonce the try
     * @return the answer; fails if none came
     */
    Promise<ClaimAnswer> ask(VmId owner, ClaimKey key, ClaimNonce nonce);

    /**
     * Tells that a request was not sent and never will be under its nonce. The message may be lost.
     *
     * @param owner the entry VM of the owner
     * @param key what was claimed
     * @param nonce the try
     */
    void release(VmId owner, ClaimKey key, ClaimNonce nonce);

    /**
     * Tells that a request was answered. The message may be lost.
     *
     * @param owner the entry VM of the owner
     * @param key what was claimed
     * @param nonce the try
     */
    void complete(VmId owner, ClaimKey key, ClaimNonce nonce);
}
