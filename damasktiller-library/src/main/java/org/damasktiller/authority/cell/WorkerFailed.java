package org.damasktiller.authority.cell;

/**
 * A command to a worker got no answer; it may have been carried out or may yet be.
 *
 * @param callId the number of the {@link WorkerRequest}
 */
public record WorkerFailed(long callId) implements CellEvent {}
