package org.damasktiller.authority.commit;

/**
 * Sets the pace and the sizes of a group committer.
 *
 * @param writesPerSecond the share of the store's write budget, above zero
 * @param burstWrites how many writes may be made at once after a quiet time, at least 2
 * @param sealBytes the size of the tail from which it is sealed into a segment, in bytes
 * @param batchBytes the size of one group at most, in bytes
 * @param retryDelayMillis the first delay after a failed call, in milliseconds
 * @param maximumRetryDelayMillis the longest delay after a failed call, in milliseconds
 */
public record CommitSettings(
        double writesPerSecond,
        int burstWrites,
        int sealBytes,
        int batchBytes,
        long retryDelayMillis,
        long maximumRetryDelayMillis) {

    /** Settings for a share of 20 writes a second. */
    public static final CommitSettings DEFAULT =
            new CommitSettings(20, 20, 64 * 1024, 512 * 1024, 100, 5_000);

    /** The largest value of the key-value service, in bytes. */
    private static final int MAXIMUM_VALUE_BYTES = 1_000_000;

    /** Checks that a head and a segment fit into a value of the store. */
    public CommitSettings {
        if (writesPerSecond <= 0 || burstWrites < 2) {
            throw new IllegalArgumentException("the write budget is too small");
        }
        if (2 * sealBytes + batchBytes > MAXIMUM_VALUE_BYTES) {
            throw new IllegalArgumentException("a sealed segment would not fit into a value");
        }
    }
}
