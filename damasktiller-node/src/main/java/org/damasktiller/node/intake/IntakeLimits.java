package org.damasktiller.node.intake;

/**
 * What callers and peers can make a process hold.
 *
 * @param bodyBytes the memory for the bodies of all requests, in bytes
 * @param largeBodyBytes the part of it that bodies over {@link #SMALL_BODY_BYTES} may use, in bytes
 * @param connections the number of connections of callers
 * @param idleMillis how long nothing of a body may arrive, in milliseconds
 * @param totalMillis how long a body may take, in milliseconds
 */
public record IntakeLimits(
        long bodyBytes, long largeBodyBytes, int connections, long idleMillis, long totalMillis) {

    /** The largest body that may use memory which is closed to larger ones, in bytes. */
    static final int SMALL_BODY_BYTES = 32 << 10;

    /** How many parts the heap has, of which the bodies of requests use one. */
    private static final long HEAP_PARTS = 8;

    /** How many parts the memory for bodies has, of which one is closed to large bodies. */
    private static final long SMALL_BODY_PARTS = 4;

    /** The descriptors that the files and the first connections of a process take. */
    private static final int PROGRAM_DESCRIPTORS = 128;

    /** How many parts the descriptors have, of which connections to workers and peers get one. */
    private static final int DESCRIPTOR_PARTS = 4;

    /** How long nothing of a body may arrive, in milliseconds. */
    private static final long IDLE_MILLIS = 10_000;

    /** How long a body may take, in milliseconds. */
    private static final long TOTAL_MILLIS = 60_000;

    /**
     * Works the limits out from what the process may use.
     *
     * @param heapBytes the largest size of the heap, in bytes
     * @param descriptors the number of descriptors that the process may have open, 0 if that is not
     *     known
     * @return the limits
     */
    public static IntakeLimits of(long heapBytes, int descriptors) {
        long bodyBytes = heapBytes / HEAP_PARTS;
        return new IntakeLimits(
                bodyBytes,
                bodyBytes - bodyBytes / SMALL_BODY_PARTS,
                descriptors <= 0 ? Integer.MAX_VALUE : callerConnections(descriptors),
                IDLE_MILLIS,
                TOTAL_MILLIS);
    }

    /**
     * Returns how many connections callers may have.
     *
     * @param descriptors the number of descriptors that the process may have open
     * @return the number, at least one
     */
    private static int callerConnections(int descriptors) {
        return Math.max(1, descriptors - descriptors / DESCRIPTOR_PARTS - PROGRAM_DESCRIPTORS);
    }
}
