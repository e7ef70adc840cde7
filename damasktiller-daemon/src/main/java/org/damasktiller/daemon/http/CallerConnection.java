package org.damasktiller.daemon.http;

import org.jspecify.annotations.Nullable;

/**
 * Follows the connection of a caller, so that work for a caller that is gone can be given up. It is
 * the user data of the server's connection. Used on its reactor's thread only.
 */
public final class CallerConnection {

    /** What to do when the caller is gone, or null. */
    private @Nullable Runnable listener;

    /** Whether the caller is gone. */
    private boolean gone;

    /** Creates a connection that is open. */
    public CallerConnection() {}

    /**
     * Sets what to do when the caller is gone; it is done at once if it is gone already.
     *
     * @param action what to do, or null for nothing any more
     */
    public void onGone(@Nullable Runnable action) {
        listener = action;
        if (gone && action != null) {
            action.run();
        }
    }

    /** Notes that the caller is gone. */
    void gone() {
        if (gone) {
            return;
        }
        gone = true;
        if (listener != null) {
            listener.run();
        }
    }
}
