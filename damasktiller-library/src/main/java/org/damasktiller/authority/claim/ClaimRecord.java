package org.damasktiller.authority.claim;

/**
 * Holds the claim of one request.
 *
 * @param nonce the try to which the request is granted
 * @param state how far the claim has come
 * @param claimedMillis when the claim was asked for, in milliseconds of the owner's clock
 */
public record ClaimRecord(ClaimNonce nonce, ClaimState state, long claimedMillis) {

    /**
     * Returns the record in another state.
     *
     * @param next the state
     * @return the record
     */
    ClaimRecord in(ClaimState next) {
        return new ClaimRecord(nonce, next, claimedMillis);
    }
}
