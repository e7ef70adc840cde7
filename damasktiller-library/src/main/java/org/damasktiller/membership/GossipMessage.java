package org.damasktiller.membership;

import java.util.List;
import org.damasktiller.identity.VmId;
import org.jspecify.annotations.Nullable;

/**
 * Holds one datagram between members of a zone.
 *
 * @param type what it asks for
 * @param sender the address of the sender
 * @param incarnation the incarnation of the sender
 * @param leaving whether the sender is leaving
 * @param sequence the number of the probe
 * @param target the member to probe, for a ping request
 * @param origin the member for which a probe is made, or null if the sender probes for itself
 * @param viewDigest the digest of the members known to the sender
 * @param tableVersion the version of the table in force at the sender
 * @param rumors the news passed on
 */
public record GossipMessage(
        GossipType type,
        VmId sender,
        long incarnation,
        boolean leaving,
        int sequence,
        @Nullable VmId target,
        @Nullable VmId origin,
        long viewDigest,
        long tableVersion,
        List<Rumor> rumors) {

    /** Copies the list of rumors. */
    public GossipMessage {
        rumors = List.copyOf(rumors);
    }
}
