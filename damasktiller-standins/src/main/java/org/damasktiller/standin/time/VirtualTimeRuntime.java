package org.damasktiller.standin.time;

import org.damasktiller.scheduler.port.ProcessRuntime;

/** The clock and timers of a simulation, whose virtual time advances only on request. */
public final class VirtualTimeRuntime implements ProcessRuntime {

    /** The wall-clock time when the virtual time is 0, in milliseconds since 1970. */
    private static final long UNIX_START_MILLIS = 1_700_000_000_000L;

    /** The virtual time and the scheduled actions. */
    private final VirtualTimeScheduler scheduler = new VirtualTimeScheduler(0);

    /** Creates a runtime whose virtual time is 0. */
    public VirtualTimeRuntime() {}

    @Override
    public long nowMillis() {
        return scheduler.nowMillis();
    }

    @Override
    public long unixMillis() {
        return UNIX_START_MILLIS + scheduler.nowMillis();
    }

    @Override
    public void schedule(long delayMillis, Runnable action) {
        scheduler.schedule(Math.max(0, delayMillis), action);
    }

    /**
     * Advances the virtual time and runs the actions that become due.
     *
     * @param millis the time to advance by, in milliseconds
     */
    public void advance(long millis) {
        long end = scheduler.nowMillis() + millis;
        scheduler.schedule(millis, () -> {});
        scheduler.runUntil(end, () -> false);
    }
}
