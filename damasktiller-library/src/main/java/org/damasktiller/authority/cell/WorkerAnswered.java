package org.damasktiller.authority.cell;

import org.damasktiller.worker.WorkerAnswer;

/**
 * A worker answered a command.
 *
 * @param callId the number of the {@link WorkerRequest}
 * @param answer the answer
 */
public record WorkerAnswered(long callId, WorkerAnswer answer) implements CellEvent {}
