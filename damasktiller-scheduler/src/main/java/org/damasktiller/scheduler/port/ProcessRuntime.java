package org.damasktiller.scheduler.port;

/** The clocks and timers of the process. Tests replace them with a clock that they advance. */
public interface ProcessRuntime {

    /**
     * Returns the time of a monotonic clock.
     *
     * @return the time since an arbitrary origin, in milliseconds
     */
    long nowMillis();

    /**
     * Returns the wall-clock time, which may jump forward or backward.
     *
     * @return the time since 1970, in milliseconds
     */
    long unixMillis();

    /**
     * Schedules an action on the thread of the event loop.
     *
     * @param delayMillis the delay, in milliseconds
     * @param action the action to run after the delay
     */
    void schedule(long delayMillis, Runnable action);
}
