package org.damasktiller.scheduler.order;

import java.util.Comparator;

/**
 * Puts preferred steps before all others, and orders both groups by another order.
 *
 * <p>Load pattern: submissions with thousands of tasks that need next to no processors, so that the
 * number of starts is what is scarce, and the order by remaining work has always one of theirs.
 */
public final class PreferredFirst implements WaitingOrder {

    /** The order of the steps that are alike in that. */
    private final Comparator<OrderKey> comparator;

    /**
     * Creates an order.
     *
     * @param order the order of the steps that are both preferred or both not
     */
    public PreferredFirst(WaitingOrder order) {
        comparator = Comparator.comparing((OrderKey key) -> !key.preferred()).thenComparing(order);
    }

    @Override
    public int compare(OrderKey first, OrderKey second) {
        return comparator.compare(first, second);
    }
}
