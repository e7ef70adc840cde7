package org.damasktiller.authority.cell;

/**
 * A call to the key-value service failed; a write may have taken effect or may yet.
 *
 * @param callId the number of the {@link StoreRequest}
 */
public record StoreFailed(long callId) implements CellEvent {}
