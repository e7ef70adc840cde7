package org.damasktiller.worker;

import java.util.List;

/**
 * Lets the worker forget stopped or finished attempts whose outcome is committed.
 *
 * @param permit the authority of the sender
 * @param attempts the attempts to forget
 */
public record AcknowledgeCommand(Permit permit, List<AttemptId> attempts) implements FencedCommand {

    /** Copies the list. */
    public AcknowledgeCommand {
        attempts = List.copyOf(attempts);
    }
}
