package org.damasktiller.worker;

import java.util.List;

/**
 * Starts attempts. An attempt that the worker already lists is left as it is.
 *
 * @param permit the authority of the sender
 * @param starts the attempts to start
 */
public record StartCommand(Permit permit, List<TaskStart> starts) implements FencedCommand {

    /** Copies the list. */
    public StartCommand {
        starts = List.copyOf(starts);
    }
}
