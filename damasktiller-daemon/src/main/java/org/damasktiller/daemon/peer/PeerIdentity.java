package org.damasktiller.daemon.peer;

import java.net.InetAddress;
import org.damasktiller.peer.PeerCodec;
import org.damasktiller.peer.PeerMessage.Hello;
import org.damasktiller.peer.SpreadSettings;

/**
 * Knows who this node is towards others, and whom it accepts.
 *
 * @param cluster the name shared by all members of the cluster
 * @param place where this node is
 */
record PeerIdentity(String cluster, SpreadSettings place) {

    /**
     * Makes the message that opens a connection.
     *
     * @return the message
     */
    Hello hello() {
        return new Hello(
                PeerCodec.FORMAT_VERSION, cluster, place.self(), place.zone(), place.region());
    }

    /**
     * Checks whether a peer is accepted: of this cluster and format, of a zone in the settings, and
     * connected from its own IP number.
     *
     * @param hello how the peer introduced itself
     * @param remote the IP number from which it is connected
     * @throws org.damasktiller.error.DamasktillerException with code PROTOCOL_ERROR if it is not
     */
    void check(Hello hello, InetAddress remote) {
        boolean same =
                hello.formatVersion() == PeerCodec.FORMAT_VERSION
                        && hello.cluster().equals(cluster);
        boolean known =
                place.zoneMap().region(hello.zone()).stream().anyMatch(hello.region()::equals);
        if (!same || !known || !fromItsAddress(hello, remote)) {
            throw PeerCodec.error(
                    remote.getHostAddress(),
                    "peer " + hello.sender() + " of zone " + hello.zone() + " is not known",
                    null);
        }
    }

    /**
     * Checks the IP number of a peer.
     *
     * @param hello how the peer introduced itself
     * @param remote the IP number from which it is connected
     * @return whether both agree
     */
    private static boolean fromItsAddress(Hello hello, InetAddress remote) {
        return PeerAddresses.valid(hello.sender())
                && PeerAddresses.address(hello.sender()).getAddress().equals(remote);
    }
}
