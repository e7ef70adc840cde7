package org.damasktiller.resource;

/**
 * Holds the amounts of processors, memory and accelerators that a task or request needs.
 *
 * @param milliProcessors thousandths of a processor, not negative
 * @param memoryMegabytes megabytes of memory, not negative
 * @param accelerators whole accelerators, not negative
 */
public record Resources(long milliProcessors, long memoryMegabytes, int accelerators) {

    /** Zero of each resource. */
    public static final Resources NONE = new Resources(0, 0, 0);

    /** Rejects negative amounts. */
    public Resources {
        if (milliProcessors < 0 || memoryMegabytes < 0 || accelerators < 0) {
            throw new IllegalArgumentException("resources must not be negative");
        }
    }
}
