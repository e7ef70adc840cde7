package org.damasktiller.node.process;

import io.activej.reactor.Reactor;
import java.time.Clock;
import org.damasktiller.platform.http.MonotonicClock;
import org.damasktiller.scheduler.fatal.FatalErrors;
import org.damasktiller.scheduler.port.DecisionLog;
import org.damasktiller.scheduler.port.ProcessRuntime;

/**
 * Provides the clock and the timers on top of an event loop. A scheduled action that throws an
 * unchecked exception is logged and does not stop the event loop.
 */
public final class EventLoopRuntime implements ProcessRuntime {

    /** The maximum number of stack frames that are logged for an exception. */
    private static final int MAX_LOGGED_FRAMES = 4;

    /** The event loop. */
    private final Reactor reactor;

    /** The wall clock. */
    private final Clock clock;

    /** Records the failures of scheduled actions. */
    private final DecisionLog log;

    /**
     * Creates a runtime.
     *
     * @param reactor the event loop
     * @param clock the wall clock
     * @param log records the failures of scheduled actions
     */
    public EventLoopRuntime(Reactor reactor, Clock clock, DecisionLog log) {
        this.reactor = reactor;
        this.clock = clock;
        this.log = log;
    }

    @Override
    public long nowMillis() {
        return MonotonicClock.nowMillis();
    }

    @Override
    public long unixMillis() {
        return clock.millis();
    }

    @Override
    public void schedule(long delayMillis, Runnable action) {
        reactor.delay(delayMillis, () -> runAndLogFailure(action));
    }

    /**
     * Runs an action and logs an unchecked exception, which indicates a bug, instead of passing it
     * on.
     *
     * @param action the action
     */
    private void runAndLogFailure(Runnable action) {
        try {
            action.run();
        } catch (RuntimeException exception) {
            FatalErrors.rethrowFatalCause(exception);
            log.log("program.fault", "error", exception, "at", innermostFrames(exception));
        }
    }

    /**
     * Returns the innermost stack frames of an exception.
     *
     * @param exception the exception
     * @return the frames, each followed by a space
     */
    private static String innermostFrames(RuntimeException exception) {
        StackTraceElement[] frames = exception.getStackTrace();
        StringBuilder text = new StringBuilder();
        for (int index = 0; index < Math.min(MAX_LOGGED_FRAMES, frames.length); index++) {
            text.append(frames[index]).append(' ');
        }
        return text.toString();
    }
}
