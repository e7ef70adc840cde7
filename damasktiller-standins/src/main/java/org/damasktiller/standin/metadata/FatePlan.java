package org.damasktiller.standin.metadata;

/** Decides which fault affects each simulated call. */
@FunctionalInterface
public interface FatePlan {

    /** The plan without faults: each call is executed and answered. */
    FatePlan CALM = call -> CallFate.ANSWERED;

    /**
     * Decides which fault affects a call. Invoked once for each call, so that a plan may count.
     *
     * @param call the kind of the call, such as {@code commit} or {@code start}; for a watch,
     *     {@code watch} followed by a space and the prefix
     * @return the fault
     */
    CallFate decide(String call);
}
