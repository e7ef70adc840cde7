package org.damasktiller.standin.time;

import org.damasktiller.scheduler.port.ProcessRuntime;

/** The clock and timers of simulated processes: a virtual time that is advanced by hand. */
public final class PausedRuntime implements ProcessRuntime {

    /** The time of day when the clock is at zero, in milliseconds since 1970. */
    private static final long UNIX_START = 1_700_000_000_000L;

    /** The time. */
    private final VirtualTime time = new VirtualTime(0);

    /** Creates a clock at zero. */
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
     * Advances the clock and runs what falls due.
     *
     * @param millis by how much, in milliseconds
     */
    public void advance(long millis) {
        long end = time.nowMillis() + millis;
        time.after(millis, () -> {});
        time.run(end, () -> false);
    }
}
