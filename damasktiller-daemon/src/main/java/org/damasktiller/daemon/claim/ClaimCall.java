package org.damasktiller.daemon.claim;

import com.fasterxml.jackson.annotation.JsonFormat;
import org.damasktiller.authority.claim.ClaimKey;
import org.damasktiller.authority.claim.ClaimNonce;
import org.damasktiller.identity.KindName;
import org.damasktiller.identity.RequestKey;
import org.damasktiller.identity.TenantName;

/**
 * Holds one call on a claim as it is sent to the entry VM of the shard's owner.
 *
 * @param type what is asked
 * @param tenant the tenant of the key
 * @param kind the kind of work of the key
 * @param key the idempotency key
 * @param nonce the try
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
record ClaimCall(Type type, String tenant, String kind, String key, String nonce) {

    /**
     * Makes a call.
     *
     * @param type what is asked
     * @param key what is claimed
     * @param nonce the try
     * @return the call
     */
    static ClaimCall of(Type type, ClaimKey key, ClaimNonce nonce) {
        return new ClaimCall(
                type, key.tenant().value(), key.kind().value(), key.key().value(), nonce.value());
    }

    /**
     * Returns what is claimed.
     *
     * @return the key
     */
    ClaimKey claimKey() {
        return new ClaimKey(new TenantName(tenant), new KindName(kind), new RequestKey(key));
    }

    /**
     * Returns the try.
     *
     * @return the nonce
     */
    ClaimNonce claimNonce() {
        return new ClaimNonce(nonce);
    }

    /** Lists what may be asked. */
    enum Type {
        /** Asks for the claim. */
        ASK,
        /** Tells that the request was not sent and never will be under its nonce. */
        RELEASE,
        /** Tells that the request was answered. */
        COMPLETE
    }
}
