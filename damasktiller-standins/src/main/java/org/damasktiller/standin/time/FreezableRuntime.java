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
    private final ProcessRuntime delegate;

    /** The actions that became due while the process was frozen, in the order of their times. */
    private final List<Runnable> deferredActions = new ArrayList<>();

    /** The total duration of the completed freezes, in milliseconds. */
    private long totalFrozenMillis;

    /** When the freeze in progress began, in milliseconds, or -1 if the process is not frozen. */
    private long frozenSinceMillis = -1;

    /**
     * Creates the clock of a process that is not frozen.
     *
     * @param delegate the clock and timers of the whole simulation
     */
    public FreezableRuntime(ProcessRuntime delegate) {
        this.delegate = delegate;
    }

    @Override
    public long nowMillis() {
        long now = frozenSinceMillis < 0 ? delegate.nowMillis() : frozenSinceMillis;
        return now - totalFrozenMillis;
    }

    @Override
    public long unixMillis() {
        return delegate.unixMillis();
    }

    @Override
    public void schedule(long delayMillis, Runnable action) {
        delegate.schedule(
                delayMillis,
                () -> {
                    if (frozenSinceMillis < 0) {
                        action.run();
                    } else {
                        deferredActions.add(action);
                    }
                });
    }

    /** Freezes the process. Must not be called while it is frozen. */
    public void freeze() {
        frozenSinceMillis = delegate.nowMillis();
    }

    /** Unfreezes the process and runs the actions that became due meanwhile. */
    public void unfreeze() {
        totalFrozenMillis += delegate.nowMillis() - frozenSinceMillis;
        frozenSinceMillis = -1;
        List<Runnable> due = new ArrayList<>(deferredActions);
        deferredActions.clear();
        due.forEach(Runnable::run);
    }
}
