package org.damasktiller.worker;

import java.util.List;

/**
 * Stops running attempts. They are listed as stopped until they are acknowledged.
 *
 * @param permit the authority of the sender
 * @param attempts the attempts to stop
 * @param checkpoint whether to keep a checkpoint
 */
public record StopCommand(Permit permit, List<AttemptId> attempts, boolean checkpoint)
        implements FencedCommand {

    /** Copies the list. */
    public StopCommand {
        attempts = List.copyOf(attempts);
    }
}
