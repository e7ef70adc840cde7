package org.damasktiller.authority.log;

import org.damasktiller.authority.call.StoreCall;

/**
 * Holds a call to the key-value service with the number under which it is answered.
 *
 * @param callId the number, never used twice by the same log
 * @param call the call
 */
public record NumberedCall(long callId, StoreCall call) {}
