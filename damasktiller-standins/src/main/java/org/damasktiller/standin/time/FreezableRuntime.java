package org.damasktiller.standin.time;

import java.util.ArrayList;
import java.util.List;
import org.damasktiller.scheduler.port.ProcessRuntime;

/**
 * The clock and timers of one simulated process that can be frozen, as by a long garbage collection
 * or a stopped virtual machine. While it is frozen, no actions run and its monotonic clock does not
 * advance; the wall clock continues.
 */
public final class FreezableRuntime implements ProcessRuntime {

    /** The clock and timers of the whole simulation, which are never frozen. */
    private final ProcessRuntime world;

    /** The actions that became due while the process was frozen, in the order of their times. */
    private final List<Runnable> held = new ArrayList<>();

    /** The total duration of the completed freezes, in milliseconds. */
    private long frozenMillis;

    /** When the freeze in progress began, in milliseconds, or -1 if the process is not frozen. */
    private long frozenAtMillis = -1;

    /**
     * Creates the clock of a process that is not frozen.
     *
     * @param world the clock and timers of the whole simulation
     */
    public FreezableRuntime(ProcessRuntime world) {
        this.world = world;
    }

    @Override
    public long nowMillis() {
        long now = frozenAtMillis < 0 ? world.nowMillis() : frozenAtMillis;
        return now - frozenMillis;
    }

    @Override
    public long unixMillis() {
        return world.unixMillis();
    }

    @Override
    public void schedule(long delayMillis, Runnable action) {
        world.schedule(
                delayMillis,
                () -> {
                    if (frozenAtMillis < 0) {
                        action.run();
                    } else {
                        held.add(action);
                    }
                });
    }

    /** Freezes the process. Must not be called while it is frozen. */
    public void freeze() {
        frozenAtMillis = world.nowMillis();
    }

    /** Unfreezes the process and runs the actions that became due meanwhile. */
    public void thaw() {
        frozenMillis += world.nowMillis() - frozenAtMillis;
        frozenAtMillis = -1;
        List<Runnable> due = new ArrayList<>(held);
        held.clear();
        due.forEach(Runnable::run);
    }
}
