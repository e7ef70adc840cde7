package org.damasktiller.daemon.entry;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;

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

    /**
     * Gives an address a port, a free one where it has port 0.
     *
     * @param address the address
     * @return the address with a port
     */
    public static InetSocketAddress withPort(InetSocketAddress address) {
        if (address.getPort() != 0) {
            return address;
        }
        try (ServerSocket socket = new ServerSocket()) {
            socket.bind(address);
            return new InetSocketAddress(address.getAddress(), socket.getLocalPort());
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }
}
