package org.damasktiller.decision;

import org.damasktiller.resource.Resources;

/** Measures an amount by the resource of which it takes the largest part. */
public final class DominantShare {

    /** Prevents instantiation. */
    private DominantShare() {}

    /**
     * Returns the largest part that an amount takes of any one resource.
     *
     * @param amount the amount
     * @param capacity the whole
     * @return the part, from 0; a resource of which there is none is left out
     */
    public static double of(Resources amount, Resources capacity) {
        double processors = part(amount.milliProcessors(), capacity.milliProcessors());
        double memory = part(amount.memoryMegabytes(), capacity.memoryMegabytes());
        double accelerators = part(amount.accelerators(), capacity.accelerators());
        return Math.max(processors, Math.max(memory, accelerators));
    }

    /**
     * Returns the part of one resource.
     *
     * @param amount the amount
     * @param whole the whole
     * @return the part, zero if there is none of the resource
     */
    private static double part(long amount, long whole) {
        return whole == 0 ? 0 : (double) amount / whole;
    }
}
