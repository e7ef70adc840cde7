package org.damasktiller.authority.claim;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;

/**
 * Holds a claim in its stored form.
 *
 * @param nonce the nonce
 * @param state the state
 * @param claimedMillis when the claim was asked for, in milliseconds
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
@JsonPropertyOrder({"nonce", "state", "claimedMillis"})
record EncodedClaim(String nonce, ClaimState state, long claimedMillis) {}
