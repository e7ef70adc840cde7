package org.damasktiller.standin.metadata;

/** Decides what becomes of each call. */
@FunctionalInterface
public interface FatePlan {

    /** Lets every call be answered. */
    FatePlan CALM = call -> CallFate.ANSWERED;

    /**
     * Decides what becomes of a call.
     *
     * @param call the kind of the call, such as {@code commit} or {@code start}
     * @return what becomes of it
     */
    CallFate decide(String call);
}
