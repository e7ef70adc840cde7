package org.damasktiller.scheduler.port;

/** The clock and the timers of the process; tests pause and advance them. */
public interface ProcessRuntime {

    /**
     * Returns the steady clock.
     *
     * @return the time since an arbitrary moment, in milliseconds
     */
    long nowMillis();

    /**
     * Returns the time of day, which may jump.
     *
     * @return milliseconds since 1970
     */
    long unixMillis();

    /**
     * Runs an action later on the thread of the event loop.
     *
     * @param delayMillis the delay, in milliseconds
     * @param action the action
     */
    void schedule(long delayMillis, Runnable action);
}
