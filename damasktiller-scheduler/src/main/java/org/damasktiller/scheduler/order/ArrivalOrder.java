package org.damasktiller.scheduler.order;

/** Orders waiting steps by the arrival of their submissions. */
public final class ArrivalOrder implements WaitingOrder {

    /** Creates the order. */
    public ArrivalOrder() {}

    @Override
    public int compare(OrderKey first, OrderKey second) {
        return Long.compare(first.arrival(), second.arrival());
    }
}
