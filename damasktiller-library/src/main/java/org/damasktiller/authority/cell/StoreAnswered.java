package org.damasktiller.authority.cell;

import org.damasktiller.authority.call.StoreAnswer;

/**
 * The key-value service answered a call.
 *
 * @param callId the number of the {@link StoreRequest}
 * @param answer the answer
 */
public record StoreAnswered(long callId, StoreAnswer answer) implements CellEvent {}
