package org.damasktiller.node.intake;

import java.util.function.IntSupplier;
import org.damasktiller.scheduler.port.DecisionLog;

/**
 * Decides whether another connection is accepted. At the limit, a connection whose request makes no
 * progress is closed for it.
 */
public final class ConnectionLimiter {

    /** The number of connections that may be open. */
    private final int limit;

    /** Closes connections whose requests make no progress. */
    private final IntakeBudget budget;

    /** The log. */
    private final DecisionLog log;

    /** Returns the number of connections that are open. */
    private IntSupplier open = () -> 0;

    /**
     * Creates a limiter.
     *
     * @param limits the limits of the process
     * @param budget closes connections whose requests make no progress
     * @param log the log
     */
    public ConnectionLimiter(IntakeLimits limits, IntakeBudget budget, DecisionLog log) {
        this.limit = limits.connections();
        this.budget = budget;
        this.log = log;
    }

    /**
     * Sets how connections are counted. Before that, none is refused.
     *
     * @param source returns the number of connections that are open
     */
    public void count(IntSupplier source) {
        open = source;
    }

    /**
     * Returns whether the next connection is refused.
     *
     * @return whether all connections are in use
     */
    public boolean refusesNext() {
        if (open.getAsInt() < limit || budget.closeConnection()) {
            return false;
        }
        log.log("connection.refused", "open", open.getAsInt(), "limit", limit);
        return true;
    }
}
