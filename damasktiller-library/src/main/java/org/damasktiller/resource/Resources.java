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
}
