package org.damasktiller.verification.owner;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import org.damasktiller.scheduler.cell.StoredValueCodec;
import org.damasktiller.scheduler.model.Manifest;
import org.damasktiller.scheduler.model.Resources;
import org.damasktiller.scheduler.model.WorkerEntry;
import org.damasktiller.scheduler.port.PlatformFormats;
import org.jspecify.annotations.Nullable;

/** The platform's records in a form of the tests' own. */
final class ModelFormats implements PlatformFormats {

    /** The prefix of the workers' entries. */
    static final String WORKERS = "workers/";

    @Override
    public String workersPrefix() {
        return WORKERS;
    }

    @Override
    public String manifestKey() {
        return "manifest";
    }

    @Override
    public @Nullable WorkerEntry decodeWorker(String id, byte[] value) {
        Entry entry = StoredValueCodec.decode(value, Entry.class);
        return entry == null
                ? null
                : new WorkerEntry(
                        id,
                        entry.service(),
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), entry.port()),
                        "zone",
                        entry.draining(),
                        2_000,
                        entry.capacity(),
                        List.of("rack"),
                        entry.born());
    }

    @Override
    public @Nullable Manifest decodeManifest(byte[] value) {
        return null;
    }

    /**
     * Writes an entry.
     *
     * @param id the identifier
     * @param service the service
     * @param address the address
     * @param draining whether the worker is leaving
     * @param capacity what it has
     * @param born when its boot began, in milliseconds since 1970
     * @return the bytes
     */
    static byte[] encode(
            String id,
            String service,
            InetSocketAddress address,
            boolean draining,
            Resources capacity,
            long born) {
        return StoredValueCodec.encode(
                new Entry(id, service, address.getPort(), draining, capacity, born));
    }

    /**
     * A stored entry.
     *
     * @param id the identifier
     * @param service the service
     * @param port the port
     * @param draining whether the worker is leaving
     * @param capacity what it has
     * @param born when its boot began, in milliseconds since 1970
     */
    public record Entry(
            String id, String service, int port, boolean draining, Resources capacity, long born) {}
}
