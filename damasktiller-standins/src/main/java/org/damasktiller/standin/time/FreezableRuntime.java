package org.damasktiller.standin.time;

import java.util.ArrayList;
import java.util.List;
import org.damasktiller.scheduler.port.ProcessRuntime;

/**
 * The clock of one process, which can be frozen: nothing runs, and the steady clock stands still.
 */
public final class FreezableRuntime implements ProcessRuntime {

    /** The clock of the world. */
    private final ProcessRuntime world;

    /** The actions that fell due while frozen. */
    private final List<Runnable> held = new ArrayList<>();

    /** How long the process has been frozen so far, in milliseconds. */
    private long frozenMillis;

    /** When the process was frozen, in milliseconds, or -1 while it runs. */
    private long frozenAtMillis = -1;

    /**
     * Creates the clock of a process that runs.
     *
     * @param world the clock of the world
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

    /** Freezes the process. */
    public void freeze() {
        frozenAtMillis = world.nowMillis();
    }

    /** Lets the process run again; what fell due meanwhile runs at once. */
    public void thaw() {
        frozenMillis += world.nowMillis() - frozenAtMillis;
        frozenAtMillis = -1;
        List<Runnable> due = new ArrayList<>(held);
        held.clear();
        due.forEach(Runnable::run);
    }
}
