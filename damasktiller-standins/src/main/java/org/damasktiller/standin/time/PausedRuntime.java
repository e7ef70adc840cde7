package org.damasktiller.standin.time;

import org.damasktiller.scheduler.port.ProcessRuntime;

/** The clock and timers of a simulation, whose virtual time advances only on request. */
public final class PausedRuntime implements ProcessRuntime {

    /** The wall-clock time when the virtual time is 0, in milliseconds since 1970. */
    private static final long UNIX_START = 1_700_000_000_000L;

    /** The virtual time and the scheduled actions. */
    private final VirtualTime time = new VirtualTime(0);

    /** Creates a runtime whose virtual time is 0. */
    public PausedRuntime() {}

    @Override
    public long nowMillis() {
        return time.nowMillis();
    }

    @Override
    public long unixMillis() {
        return UNIX_START + time.nowMillis();
    }

    @Override
    public void schedule(long delayMillis, Runnable action) {
        time.after(Math.max(0, delayMillis), action);
    }

    /**
     * Advances the virtual time and runs the actions that become due.
     *
     * @param millis the time to advance by, in milliseconds
     */
    public void advance(long millis) {
        long end = time.nowMillis() + millis;
        time.after(millis, () -> {});
        time.run(end, () -> false);
    }
}
