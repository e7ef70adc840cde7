package org.damasktiller.daemon.peer;

import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;
import java.net.InetSocketAddress;
import org.damasktiller.identity.VmId;

/** Converts between the names of entry VMs and socket addresses. No name is looked up. */
public final class PeerAddresses {

    /** Prevents instantiation. */
    private PeerAddresses() {}

    /**
     * Reads the address in the name of an entry VM.
     *
     * @param id the name, an IP number with a port
     * @return the address
     * @throws IllegalArgumentException if the name is not an IP number
     * @throws IllegalStateException if the name has no port
     */
    public static InetSocketAddress address(VmId id) {
        HostAndPort parsed = HostAndPort.fromString(id.value());
        return new InetSocketAddress(InetAddresses.forString(parsed.getHost()), parsed.getPort());
    }

    /**
     * Tells whether a name can be an address.
     *
     * @param id the name
     * @return whether it is an IP number with a port
     */
    static boolean valid(VmId id) {
        try {
            return address(id).getPort() > 0;
        } catch (IllegalArgumentException | IllegalStateException e) {
            return false;
        }
    }

    /**
     * Makes the name of an entry VM from its address.
     *
     * @param address the address
     * @return the name
     */
    public static VmId id(InetSocketAddress address) {
        String host = InetAddresses.toAddrString(address.getAddress());
        return new VmId(HostAndPort.fromParts(host, address.getPort()).toString());
    }
}
