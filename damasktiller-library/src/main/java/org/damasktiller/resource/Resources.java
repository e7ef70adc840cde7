package org.damasktiller.resource;

/**
 * Holds an amount of each resource of a worker.
 *
 * @param milliProcessors thousandths of a processor, not negative
 * @param memoryMegabytes megabytes of memory, not negative
 * @param accelerators whole accelerators, not negative
 */
public record Resources(long milliProcessors, long memoryMegabytes, int accelerators) {

    /** The amount that holds nothing. */
    public static final Resources NONE = new Resources(0, 0, 0);

    /** Checks that no amount is negative. */
    public Resources {
        if (milliProcessors < 0 || memoryMegabytes < 0 || accelerators < 0) {
            throw new IllegalArgumentException("resources must not be negative");
        }
    }

    /**
     * Adds another amount.
     *
     * @param other the amount to add
     * @return the sum
     */
    public Resources plus(Resources other) {
        return new Resources(
                milliProcessors + other.milliProcessors,
                memoryMegabytes + other.memoryMegabytes,
                accelerators + other.accelerators);
    }

    /**
     * Subtracts another amount.
     *
     * @param other the amount to subtract, which must fit within this one
     * @return the difference
     * @throws IllegalArgumentException if the other amount does not fit within this one
     */
    public Resources minus(Resources other) {
        return new Resources(
                milliProcessors - other.milliProcessors,
                memoryMegabytes - other.memoryMegabytes,
                accelerators - other.accelerators);
    }

    /**
     * Tells whether this amount fits within another one in each resource.
     *
     * @param available the amount to fit within
     * @return whether it fits
     */
    public boolean fitsWithin(Resources available) {
        return milliProcessors <= available.milliProcessors
                && memoryMegabytes <= available.memoryMegabytes
                && accelerators <= available.accelerators;
    }
}
