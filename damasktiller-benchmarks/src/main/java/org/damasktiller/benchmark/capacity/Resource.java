package org.damasktiller.benchmark.capacity;

import java.lang.management.ManagementFactory;
import java.lang.ref.Reference;
import java.util.function.Supplier;

/** Reads what the measuring thread and the process have used. */
final class Resource {

    /** How often the heap is collected before it is read. */
    private static final int COLLECTIONS = 3;

    /** Prevents instantiation. */
    private Resource() {}

    /**
     * Measures the heap that something keeps alive.
     *
     * @param maker makes it
     * @return the bytes
     */
    static double heapOf(Supplier<?> maker) {
        long before = heap();
        Object kept = maker.get();
        try {
            return (double) (heap() - before);
        } finally {
            Reference.reachabilityFence(kept);
        }
    }

    /**
     * Measures the processor time of the calling thread.
     *
     * @param action what to run
     * @return the nanoseconds
     */
    static double processorNanosOf(Runnable action) {
        long before = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
        action.run();
        return (double) (ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime() - before);
    }

    /**
     * Reads the heap in use after collections.
     *
     * @return the bytes
     */
    private static long heap() {
        for (int index = 0; index < COLLECTIONS; index++) {
            System.gc();
        }
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }
}
