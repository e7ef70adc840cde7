package org.damasktiller.membership;

/**
 * Holds the counters of one member.
 *
 * @param sentBytes the bytes sent, headers included
 * @param receivedBytes the bytes received, headers included
 * @param refusedDatagrams the datagrams that were not sent for lack of budget
 * @param suspicions the suspicions that this member raised
 * @param refutations how often this member refuted a suspicion or its death
 */
public record MembershipCounters(
        long sentBytes,
        long receivedBytes,
        long refusedDatagrams,
        long suspicions,
        long refutations) {}
