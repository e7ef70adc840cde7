package org.damasktiller.node.process;

import org.damasktiller.scheduler.port.DecisionLog;
import org.damasktiller.scheduler.port.ProcessRuntime;

/**
 * Logs when the wall clock has been set and when timers run late. Both are measured against the
 * monotonic clock. A suspension of the machine, which the monotonic clock does not count, looks
 * like a wall clock that was set forward.
 */
public final class ClockMonitor {

    /** The interval between checks, in milliseconds. */
    private static final long CHECK_INTERVAL_MILLIS = 500;

    /** The smallest step of the wall clock that is logged, in milliseconds. */
    private static final long MINIMUM_STEP_MILLIS = 200;

    /** The smallest delay of a timer that is logged, in milliseconds. */
    private static final long MINIMUM_LATE_MILLIS = 500;

    /** The clocks and the timers. */
    private final ProcessRuntime runtime;

    /** The log. */
    private final DecisionLog log;

    /** The wall clock minus the monotonic clock at the last check, in milliseconds. */
    private long offsetMillis;

    /**
     * Creates a monitor that is not started yet.
     *
     * @param runtime the clocks and the timers
     * @param log the log
     */
    public ClockMonitor(ProcessRuntime runtime, DecisionLog log) {
        this.runtime = runtime;
        this.log = log;
    }

    /** Starts the checks. */
    public void start() {
        offsetMillis = currentOffsetMillis();
        scheduleCheck();
    }

    /** Schedules the next check. */
    private void scheduleCheck() {
        long dueMillis = runtime.nowMillis() + CHECK_INTERVAL_MILLIS;
        runtime.schedule(CHECK_INTERVAL_MILLIS, () -> check(dueMillis));
    }

    /**
     * Compares the clocks and schedules the next check.
     *
     * @param dueMillis when this check was due, on the monotonic clock, in milliseconds
     */
    private void check(long dueMillis) {
        long lateMillis = runtime.nowMillis() - dueMillis;
        long offset = currentOffsetMillis();
        long stepMillis = offset - offsetMillis;
        offsetMillis = offset;
        if (Math.abs(stepMillis) >= MINIMUM_STEP_MILLIS) {
            log.log("clock.stepped", "aheadMillis", stepMillis, "timerLateMillis", lateMillis);
        }
        if (lateMillis >= MINIMUM_LATE_MILLIS) {
            log.log("timer.late", "millis", lateMillis);
        }
        scheduleCheck();
    }

    /**
     * Returns the difference between the clocks.
     *
     * @return the wall clock minus the monotonic clock, in milliseconds
     */
    private long currentOffsetMillis() {
        return runtime.unixMillis() - runtime.nowMillis();
    }
}
