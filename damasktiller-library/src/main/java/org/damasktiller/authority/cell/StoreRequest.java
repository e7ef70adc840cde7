package org.damasktiller.authority.cell;

import org.damasktiller.authority.call.StoreCall;

/**
 * Asks for a call to the key-value service, to be answered by {@link StoreAnswered} or {@link
 * StoreFailed}.
 *
 * @param callId the number of the call, never used twice by the same owner object
 * @param call the call
 */
public record StoreRequest(long callId, StoreCall call) implements CellAction {}
