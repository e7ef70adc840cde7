package org.damasktiller.standin.claim;

import java.util.ArrayDeque;
import java.util.Deque;

/** A process that can be paused and can die. What arrives while it is paused waits. */
class SimulatedProcess {

    /** What arrived while the process was paused, oldest first. */
    private final Deque<Runnable> mailbox = new ArrayDeque<>();

    /** Whether the process lives. */
    private boolean alive = true;

    /** Until when the process is paused, in milliseconds. */
    private long pausedUntilMillis = Long.MIN_VALUE;

    /** Creates a process that runs. */
    SimulatedProcess() {}

    /**
     * Tells whether the process lives.
     *
     * @return whether it lives
     */
    boolean alive() {
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
     * Tells whether the process is paused.
     *
     * @param nowMillis the time, in milliseconds
     * @return whether it is paused
     */
    boolean paused(long nowMillis) {
        return nowMillis < pausedUntilMillis;
    }

    /**
     * Has the process do something now, or once it runs again; a dead process does nothing.
     *
     * @param work what to do
     * @param nowMillis the time, in milliseconds
     */
    void post(Runnable work, long nowMillis) {
        if (!alive) {
            return;
        }
        if (paused(nowMillis)) {
            mailbox.add(work);
            return;
        }
        resume(nowMillis);
        work.run();
    }

    /**
     * Does what waited, if the process runs.
     *
     * @param nowMillis the time, in milliseconds
     */
    void resume(long nowMillis) {
        while (alive && !paused(nowMillis) && !mailbox.isEmpty()) {
            mailbox.remove().run();
        }
    }
}
