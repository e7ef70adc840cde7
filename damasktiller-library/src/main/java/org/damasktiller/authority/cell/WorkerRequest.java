package org.damasktiller.authority.cell;

import org.damasktiller.identity.WorkerId;
import org.damasktiller.worker.WorkerCommand;

/**
 * Asks for a command to a worker, to be answered by {@link WorkerAnswered} or {@link WorkerFailed}.
 *
 * @param callId the number of the call, never used twice by the same owner object
 * @param worker the worker
 * @param command the command
 */
public record WorkerRequest(long callId, WorkerId worker, WorkerCommand command)
        implements CellAction {}
