package org.damasktiller.worker;

import java.util.List;

/**
 * Extends the leases of running attempts to the expiry of the permit. With an empty list it only
 * asks for the inventory.
 *
 * @param permit the authority of the sender
 * @param attempts the attempts to renew
 */
public record RenewCommand(Permit permit, List<AttemptId> attempts) implements FencedCommand {

    /** Copies the list. */
    public RenewCommand {
        attempts = List.copyOf(attempts);
    }
}
