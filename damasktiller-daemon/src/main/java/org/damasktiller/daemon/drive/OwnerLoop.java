package org.damasktiller.daemon.drive;

import com.google.common.util.concurrent.MoreExecutors;
import io.activej.common.time.CurrentTimeProvider;
import io.activej.reactor.Reactor;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Gives a state machine its events one at a time on a pool of threads shared by many, and passes
 * its actions to the reactor, whose thread calls every public method. The state machine is touched
 * by the pool only, so no lock is held anywhere.
 *
 * @param <E> the type of the events
 * @param <A> the type of the actions
 */
public final class OwnerLoop<E, A> {

    /** The time between two ticks, in milliseconds. */
    private static final long TICK_MILLIS = 20;

    /** The reactor that does the I/O. */
    private final Reactor reactor;

    /** Runs the events one after the other. */
    private final Executor events;

    /** The clock read at the moment an event is handled. */
    private final CurrentTimeProvider clock;

    /** The state machine. */
    private final Machine<E, A> machine;

    /** Makes the event that time has passed. */
    private final Supplier<E> tick;

    /** Carries out an action on the reactor's thread. */
    private final Consumer<A> carryOut;

    /** Whether events are dropped because the pool may be gone. */
    private boolean stopped;

    /**
     * Creates a loop that does not run yet.
     *
     * @param environment what the loop needs from its entry VM
     * @param machine the state machine, not to be used by anyone else
     * @param tick makes the event that time has passed
     * @param carryOut carries out an action on the reactor's thread
     */
    public OwnerLoop(
            OwnerEnvironment environment,
            Machine<E, A> machine,
            Supplier<E> tick,
            Consumer<A> carryOut) {
        this.reactor = environment.reactor();
        this.events = MoreExecutors.newSequentialExecutor(environment.decisionPool());
        this.clock = environment.clock();
        this.machine = machine;
        this.tick = tick;
        this.carryOut = carryOut;
    }

    /** Starts to give ticks, and goes on until the loop is stopped. */
    public void start() {
        if (stopped) {
            return;
        }
        post(tick.get());
        reactor.delayBackground(TICK_MILLIS, this::start);
    }

    /** Stops; events that come later are dropped. */
    public void stop() {
        stopped = true;
    }

    /**
     * Passes an event to the state machine.
     *
     * @param event the event
     */
    public void post(E event) {
        if (stopped) {
            return;
        }
        events.execute(
                () -> {
                    List<A> actions = machine.handle(event, clock.currentTimeMillis());
                    if (!actions.isEmpty()) {
                        reactor.execute(() -> actions.forEach(carryOut));
                    }
                });
    }

    /**
     * A state machine without I/O.
     *
     * @param <E> the type of the events
     * @param <A> the type of the actions
     */
    public interface Machine<E, A> {

        /**
         * Takes one event.
         *
         * @param event the event
         * @param nowMillis the time, read after the event was received, in milliseconds
         * @return what to do, in order
         */
        List<A> handle(E event, long nowMillis);
    }
}
