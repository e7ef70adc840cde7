package org.damasktiller.node.process;

import org.jspecify.annotations.Nullable;

/**
 * Takes a signal from the start of the program on, and holds it until the program can act on it.
 * Used by several threads.
 */
final class PendingSignal implements Runnable {

    /** What the signal leads to, or null before the program can act on it. */
    private @Nullable Runnable action;

    /** Whether the signal has arrived before there was an action. */
    private boolean pending;

    /** Creates a signal that has not arrived and has no action. */
    PendingSignal() {}

    /** Called when the signal arrives. Runs the action, or holds the signal until there is one. */
    @Override
    public synchronized void run() {
        if (action == null) {
            pending = true;
        } else {
            action.run();
        }
    }

    /**
     * Sets what the signal leads to from now on, and runs it once if the signal has arrived before.
     *
     * @param signalAction the action, which must be thread-safe
     */
    synchronized void release(Runnable signalAction) {
        action = signalAction;
        if (pending) {
            pending = false;
            signalAction.run();
        }
    }
}
