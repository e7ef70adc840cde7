package org.damasktiller.node.process;

import io.activej.reactor.Reactor;
import java.time.Clock;
import org.damasktiller.scheduler.port.DecisionLog;
import org.damasktiller.scheduler.port.ProcessRuntime;

/** The clock and the timers of an event loop. */
public final class LoopRuntime implements ProcessRuntime {

    /** The number of nanoseconds in a millisecond. */
    private static final long NANOS_PER_MILLI = 1_000_000;

    /** How many frames of a fault are logged. */
    private static final int FRAMES = 4;

    /** The event loop. */
    private final Reactor reactor;

    /** The time of day. */
    private final Clock clock;

    /** The log. */
    private final DecisionLog log;

    /**
     * Creates the runtime.
     *
     * @param reactor the event loop
     * @param clock the time of day
     * @param log the log, for actions that fail
     */
    public LoopRuntime(Reactor reactor, Clock clock, DecisionLog log) {
        this.reactor = reactor;
        this.clock = clock;
        this.log = log;
    }

    @Override
    public long nowMillis() {
        return System.nanoTime() / NANOS_PER_MILLI;
    }

    @Override
    public long unixMillis() {
        return clock.millis();
    }

    @Override
    public void schedule(long delayMillis, Runnable action) {
        reactor.delay(delayMillis, () -> guard(action));
    }

    /**
     * Runs an action; a fault of the program is logged and ends only this action.
     *
     * @param action the action
     */
    private void guard(Runnable action) {
        try {
            action.run();
        } catch (RuntimeException exception) {
            log.log("program.fault", "error", exception, "at", firstFrame(exception));
        }
    }

    /**
     * Returns where an error arose.
     *
     * @param exception the error
     * @return the innermost frames
     */
    private static String firstFrame(RuntimeException exception) {
        StackTraceElement[] frames = exception.getStackTrace();
        StringBuilder text = new StringBuilder();
        for (int index = 0; index < Math.min(FRAMES, frames.length); index++) {
            text.append(frames[index]).append(' ');
        }
        return text.toString();
    }
}
