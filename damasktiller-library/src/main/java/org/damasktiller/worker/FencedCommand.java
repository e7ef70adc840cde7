package org.damasktiller.worker;

/**
 * A command that a worker obeys only if its generation is not lower than the highest the worker
 * saw, and only until the permit has expired on the worker's clock.
 */
public sealed interface FencedCommand extends WorkerCommand
        permits FenceCommand,
                StartCommand,
                RenewCommand,
                StopCommand,
                ThrottleCommand,
                AcknowledgeCommand {

    /**
     * Returns the authority under which the command is sent.
     *
     * @return the permit
     */
    Permit permit();
}
