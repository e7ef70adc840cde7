package org.damasktiller.authority.claim;

import org.damasktiller.authority.commit.CommitSettings;
import org.damasktiller.authority.ownership.OwnershipSettings;

/**
 * Sets the times and bounds of a claim shard.
 *
 * @param ownership the times of the ownership
 * @param commit the sizes and the pace of the commits
 * @param callTimeoutMillis how long to wait for an answer of the store, in milliseconds
 * @param waitMillis how long a question waits for its commit at most, in milliseconds
 * @param retentionMillis how long a claim is kept at least, in milliseconds: the time within which
 *     a caller may repeat a request, the longest deadline of a request, and the margin of the
 *     clocks
 * @param maximumClaims the claims kept at once at most
 * @param maximumWaiting the claims that wait for their commit at most
 */
public record ClaimSettings(
        OwnershipSettings ownership,
        CommitSettings commit,
        long callTimeoutMillis,
        long waitMillis,
        long retentionMillis,
        int maximumClaims,
        int maximumWaiting) {

    /** Settings that keep claims for 25 hours: a day of repeats, and an hour for the rest. */
    public static final ClaimSettings DEFAULT =
            new ClaimSettings(
                    new OwnershipSettings(6_000, 2_000, 1_000, 0, 0, 0, 2_000),
                    CommitSettings.DEFAULT,
                    2_000,
                    5_000,
                    25 * 3_600_000L,
                    200_000,
                    10_000);

    /** Checks that the bounds are above zero. */
    public ClaimSettings {
        if (maximumClaims < 1 || maximumWaiting < 1 || retentionMillis < 1) {
            throw new IllegalArgumentException("a bound of the claims is below one");
        }
    }
}
