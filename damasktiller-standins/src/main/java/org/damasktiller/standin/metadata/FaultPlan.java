package org.damasktiller.standin.metadata;

import org.damasktiller.scheduler.port.StoreTransaction;

/** Decides which fault affects each simulated call. */
@FunctionalInterface
public interface FaultPlan {

    /** The plan without faults: each call is executed and answered. */
    FaultPlan NO_FAULTS = call -> CallFault.ANSWERED;

    /**
     * Decides which fault affects a call. Invoked once for each call, so that a plan may count.
     *
     * @param call the kind of the call, such as {@code commit}, {@code start}, {@code hold} for a
     *     heartbeat or {@code pace} for a throttle; for a watch, {@code watch} followed by a space
     *     and the prefix
     * @return the fault
     */
    CallFault faultFor(String call);

    /**
     * Decides which fault affects a transaction. Invoked once for each call; the same as for other
     * calls of the kind {@code commit} unless a plan tells transactions apart.
     *
     * @param transaction the transaction
     * @return the fault
     */
    default CallFault faultForCommit(StoreTransaction transaction) {
        return faultFor("commit");
    }
}
