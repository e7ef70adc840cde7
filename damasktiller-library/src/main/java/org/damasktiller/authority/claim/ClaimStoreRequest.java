package org.damasktiller.authority.claim;

import org.damasktiller.authority.call.StoreCall;

/**
 * Asks for a call to the key-value service, to be answered by {@link ClaimStoreAnswered} or {@link
 * ClaimStoreFailed}.
 *
 * @param callId the number of the call, never used twice by the same owner object
 * @param call the call
 */
public record ClaimStoreRequest(long callId, StoreCall call) implements ClaimAction {}
