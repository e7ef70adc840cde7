package org.damasktiller.node.process;

import io.activej.reactor.nio.NioReactor;
import java.net.InetSocketAddress;
import org.damasktiller.platform.call.JsonHttpClient;
import org.damasktiller.platform.metadata.HttpMetadataStore;
import org.damasktiller.scheduler.port.MetadataStore;

/** Creates the clients of the store. */
final class StoreClients {

    /** The timeout of a call to the store, in milliseconds. */
    private static final long TIMEOUT_MILLIS = 1_000;

    /** The timeout of a watch call, in milliseconds; the store may hold such a call for 1.5 s. */
    private static final long WATCH_TIMEOUT_MILLIS = 2_600;

    /**
     * The timeout of a call that reads the whole manifest, in milliseconds: longer than a manifest
     * of some thousand routes fills a link of 2 Mbit/s, of which other calls need a part.
     */
    private static final long MANIFEST_TIMEOUT_MILLIS = 5_000;

    /** Prevents instantiation. */
    private StoreClients() {}

    /**
     * Creates the client for everything but the manifest.
     *
     * @param reactor the reactor that does the I/O
     * @param address the address of the store
     * @return the client
     */
    static MetadataStore create(NioReactor reactor, InetSocketAddress address) {
        return create(reactor, address, TIMEOUT_MILLIS);
    }

    /**
     * Creates the client that reads the manifest. A timeout of one of its calls leaves the
     * connections of all other calls alone.
     *
     * @param reactor the reactor that does the I/O
     * @param address the address of the store
     * @return the client
     */
    static MetadataStore createForManifest(NioReactor reactor, InetSocketAddress address) {
        return create(reactor, address, MANIFEST_TIMEOUT_MILLIS);
    }

    /**
     * Creates a client with connections of its own.
     *
     * @param reactor the reactor that does the I/O
     * @param address the address of the store
     * @param timeoutMillis the timeout of calls other than watches, in milliseconds
     * @return the client
     */
    private static MetadataStore create(
            NioReactor reactor, InetSocketAddress address, long timeoutMillis) {
        return new HttpMetadataStore(
                new JsonHttpClient(reactor, timeoutMillis),
                new JsonHttpClient(reactor, WATCH_TIMEOUT_MILLIS),
                address);
    }
}
