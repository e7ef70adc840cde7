package org.damasktiller.membership;

/**
 * Holds the times and sizes of the membership.
 *
 * @param periodMillis the time between two probes by one member
 * @param probeTimeoutMillis how long a direct answer is awaited before others are asked to probe
 * @param suspicionMillis how long a suspected member may refute before it is dead
 * @param pauseMillis the time between two ticks from which this process counts as paused
 * @param joinMillis the time between two tries to find members that are not known to be live
 * @param syncMillis the shortest time between two exchanges of members known
 * @param tombstoneMillis how long dead and left members are remembered
 * @param bytesPerSecond the budget of sent and received bytes, headers included
 * @param datagramBytes the largest datagram
 */
public record MembershipSettings(
        long periodMillis,
        long probeTimeoutMillis,
        long suspicionMillis,
        long pauseMillis,
        long joinMillis,
        long syncMillis,
        long tombstoneMillis,
        int bytesPerSecond,
        int datagramBytes) {

    /** The settings used unless a test needs others. */
    public static final MembershipSettings STANDARD =
            new MembershipSettings(1_000, 300, 4_000, 1_000, 5_000, 5_000, 600_000, 2_000, 1_200);
}
