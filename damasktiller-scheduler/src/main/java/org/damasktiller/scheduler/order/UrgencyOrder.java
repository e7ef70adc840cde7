package org.damasktiller.scheduler.order;

import java.util.Comparator;

/**
 * Orders waiting steps by what callers lose if they wait.
 *
 * <p>Load pattern: more work than capacity. Work that can still be on time precedes late work, a
 * higher priority of the route precedes a lower one, and less remaining work precedes more, so that
 * as many submissions as possible are on time when not all can be.
 */
public final class UrgencyOrder implements WaitingOrder {

    /** The order. */
    private static final Comparator<OrderKey> ORDER =
            Comparator.comparing(OrderKey::rank)
                    .thenComparing(OrderKey::lateness)
                    .thenComparingInt(OrderKey::priority)
                    .thenComparingDouble(OrderKey::remainingWork);

    /** Creates the order. */
    public UrgencyOrder() {}

    @Override
    public int compare(OrderKey first, OrderKey second) {
        return ORDER.compare(first, second);
    }
}
