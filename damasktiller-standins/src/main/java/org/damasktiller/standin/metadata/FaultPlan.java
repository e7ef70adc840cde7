package org.damasktiller.standin.metadata;

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
}
