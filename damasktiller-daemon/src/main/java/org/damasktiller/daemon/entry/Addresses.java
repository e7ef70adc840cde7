package org.damasktiller.daemon.entry;

import java.net.InetSocketAddress;

/** Writes addresses as text. */
public final class Addresses {

    /** Prevents instantiation. */
    private Addresses() {}

    /**
     * Writes an address as text.
     *
     * @param address the address
     * @return the IP number and port
     */
    public static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
