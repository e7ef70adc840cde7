package org.damasktiller.authority.claim;

import org.damasktiller.authority.call.StoreAnswer;

/**
 * The key-value service answered a call.
 *
 * @param callId the number of the {@link ClaimStoreRequest}
 * @param answer the answer
 */
public record ClaimStoreAnswered(long callId, StoreAnswer answer) implements ClaimEvent {}
