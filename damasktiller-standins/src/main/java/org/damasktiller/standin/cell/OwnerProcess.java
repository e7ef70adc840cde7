package org.damasktiller.standin.cell;

import java.util.ArrayDeque;
import java.util.Deque;
import org.damasktiller.authority.cell.CellEvent;
import org.damasktiller.authority.cell.CellOwner;

/** Holds one process that can own the cell. */
public final class OwnerProcess {

    /** The number of the process. */
    private final int number;

    /** The owner under test. */
    private final CellOwner owner;

    /** The events that arrived while the process was paused. */
    private final Deque<CellEvent> mailbox = new ArrayDeque<>();

    /** Whether the process lives. */
    private boolean alive = true;

    /** Until when the process is paused, in milliseconds. */
    private long pausedUntilMillis = Long.MIN_VALUE;

    /**
     * Creates a process.
     *
     * @param number its number
     * @param owner the owner under test
     */
    OwnerProcess(int number, CellOwner owner) {
        this.number = number;
        this.owner = owner;
    }

    /**
     * Returns the number of the process.
     *
     * @return the number
     */
    public int number() {
        return number;
    }

    /**
     * Returns the owner under test.
     *
     * @return the owner
     */
    public CellOwner owner() {
        return owner;
    }

    /**
     * Tells whether the process lives.
     *
     * @return whether it lives
     */
    public boolean alive() {
        return alive;
    }

    /** Ends the process. */
    void kill() {
        alive = false;
        mailbox.clear();
    }

    /**
     * Pauses the process.
     *
     * @param untilMillis until when, in milliseconds
     */
    void pause(long untilMillis) {
        pausedUntilMillis = Math.max(pausedUntilMillis, untilMillis);
    }

    /**
     * Returns until when the process is paused.
     *
     * @return the time, in milliseconds
     */
    long pausedUntilMillis() {
        return pausedUntilMillis;
    }

    /**
     * Returns the events that arrived while the process was paused.
     *
     * @return the events, oldest first
     */
    Deque<CellEvent> mailbox() {
        return mailbox;
    }
}
