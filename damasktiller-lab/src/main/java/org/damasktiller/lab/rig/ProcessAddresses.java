package org.damasktiller.lab.rig;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;

/**
 * Gives out addresses for the programs of entry VMs, which are closed while a program restarts. No
 * other program gets one of them meanwhile: the host is a loopback address of this process alone,
 * and the kernel assigns none of the ports by itself.
 */
public final class ProcessAddresses {

    /** The first port, above those of system services. */
    private static final int FIRST_PORT = 10_000;

    /** The port after the last one, below those that the kernel assigns. */
    private static final int END_PORT = 30_000;

    /** The first byte of all loopback addresses. */
    private static final int LOOPBACK_BYTE = 127;

    /** Added to the second byte, so that no address of a process is the usual loopback address. */
    private static final int SECOND_BYTE_OFFSET = 64;

    /** The number of bits of a byte. */
    private static final int BYTE_BITS = 8;

    /** The mask of the bits of the process identifier that the second byte holds. */
    private static final int SECOND_BYTE_MASK = 0x3f;

    /** The host of this process, or the usual loopback address where it can't be used. */
    private static final InetAddress HOST = findHost(ProcessHandle.current().pid());

    /** The port that is tried next. */
    private static int nextPort = FIRST_PORT;

    /** Prevents instantiation. */
    private ProcessAddresses() {}

    /**
     * Returns the host of all addresses.
     *
     * @return a loopback address
     */
    public static InetAddress host() {
        return HOST;
    }

    /**
     * Returns an address at which no program listens, and which is given out again only after all
     * others.
     *
     * @return the address
     * @throws IllegalStateException if a program listens at each address
     */
    static synchronized InetSocketAddress next() {
        for (int attempt = FIRST_PORT; attempt < END_PORT; attempt++) {
            int port = nextPort;
            nextPort = port + 1 < END_PORT ? port + 1 : FIRST_PORT;
            if (isFree(HOST, port)) {
                return new InetSocketAddress(HOST, port);
            }
        }
        throw new IllegalStateException("a program listens at each port of " + HOST);
    }

    /**
     * Finds the host of a process.
     *
     * @param pid the identifier of the process, of which 22 bits tell processes apart
     * @return its own loopback address, or the usual one if the machine has no others
     */
    private static InetAddress findHost(long pid) {
        byte[] bytes = {
            LOOPBACK_BYTE,
            (byte) (SECOND_BYTE_OFFSET + ((pid >> (2 * BYTE_BITS)) & SECOND_BYTE_MASK)),
            (byte) (pid >> BYTE_BITS),
            (byte) pid
        };
        try {
            InetAddress own = InetAddress.getByAddress(bytes);
            return isFree(own, 0) ? own : InetAddress.getLoopbackAddress();
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    /**
     * Returns whether a program can listen at an address.
     *
     * @param host the host
     * @param port the port, or 0 for any
     * @return whether that was possible a moment ago
     */
    private static boolean isFree(InetAddress host, int port) {
        try (ServerSocket socket = new ServerSocket(port, 1, host)) {
            return socket.isBound();
        } catch (IOException exception) {
            return false;
        }
    }
}
