package org.damasktiller.worker;

import io.activej.promise.Promise;
import org.damasktiller.identity.WorkerId;

/**
 * Reaches the platform's workers. The promise fails with a {@link
 * org.damasktiller.error.DamasktillerException} of step {@code COMMAND} if no answer came; the
 * command may then have been carried out, or may yet be.
 *
 * <p>The interface assumes of a worker that it refuses a lower generation than the highest it was
 * fenced with, a permit that has expired and a stamp of an earlier process, that it starts an
 * attempt at most once while it lists it, stops an attempt whose lease lapsed, and lists stopped
 * and finished attempts until they are acknowledged.
 */
public interface WorkerClient {

    /**
     * Sends one command.
     *
     * @param worker the worker
     * @param command the command
     * @return the answer
     */
    Promise<WorkerAnswer> send(WorkerId worker, WorkerCommand command);
}
