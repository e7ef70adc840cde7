package org.damasktiller.node.caller;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Selects the peers to which a VM that can't reach the store passes requests on.
 *
 * <p>Load pattern: the store rejects the calls of some VMs and serves the others. Callers of these
 * VMs would wait, and retry in the same zone. Peers of the own zone come first, then those of the
 * own region, since the link between regions is narrow. A peer that could not serve a request is
 * left out for a while, as the same fault often concerns several VMs of a zone.
 */
final class RelayPeerSelector {

    /** The most peers that are tried for one request. */
    private static final int MAX_ATTEMPTS = 3;

    /** How long a peer is left out after it could not serve a request, in milliseconds. */
    private static final long FAILED_PEER_MILLIS = 2_000;

    /** The availability zone of this VM. */
    private final String zone;

    /** The region of each availability zone. */
    private final Map<String, String> regionByZone;

    /** Until when peers are left out, in milliseconds, by the name of the VM. */
    private final Map<String, Long> failedUntilMillis = new HashMap<>();

    /** The number of selections so far; spreads requests over equal peers. */
    private int selections;

    /**
     * Creates a selector without failed peers.
     *
     * @param zone the availability zone of this VM
     * @param regionByZone the region of each availability zone
     */
    RelayPeerSelector(String zone, Map<String, String> regionByZone) {
        this.zone = zone;
        this.regionByZone = Map.copyOf(regionByZone);
    }

    /**
     * Selects the peers for a request.
     *
     * @param peers the known peers
     * @param nowMillis the current time, in milliseconds
     * @return the peers to try, in this order; may be empty
     */
    List<RelayPeer> select(Collection<RelayPeer> peers, long nowMillis) {
        int selection = selections++;
        String region = regionByZone.getOrDefault(zone, "");
        Comparator<RelayPeer> order =
                Comparator.<RelayPeer, Boolean>comparing(peer -> !peer.zone().equals(zone))
                        .thenComparing(
                                peer -> !regionByZone.getOrDefault(peer.zone(), "").equals(region))
                        .thenComparingInt(peer -> (peer.node() + '/' + selection).hashCode());
        return peers.stream()
                .filter(peer -> failedUntilMillis.getOrDefault(peer.node(), 0L) <= nowMillis)
                .sorted(order)
                .limit(MAX_ATTEMPTS)
                .toList();
    }

    /**
     * Records that a peer could not serve a request.
     *
     * @param peer the peer
     * @param nowMillis the current time, in milliseconds
     */
    void onFailed(RelayPeer peer, long nowMillis) {
        failedUntilMillis.put(peer.node(), nowMillis + FAILED_PEER_MILLIS);
    }
}
