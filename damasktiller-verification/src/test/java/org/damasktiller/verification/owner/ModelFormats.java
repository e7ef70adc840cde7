package org.damasktiller.verification.owner;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import org.damasktiller.scheduler.cell.StoredValueCodec;
import org.damasktiller.scheduler.model.Manifest;
import org.damasktiller.scheduler.model.Resources;
import org.damasktiller.scheduler.model.WorkerEntry;
import org.damasktiller.scheduler.port.PlatformRecordDecoder;
import org.jspecify.annotations.Nullable;

/**
 * Encodes and decodes the platform's records in a format of the tests, so that they do not depend
 * on the real format. There is no manifest.
 */
final class ModelFormats implements PlatformRecordDecoder {

    /** The prefix of the keys under which workers register. */
    static final String WORKERS = "workers/";

    @Override
    public String workerKeyPrefix() {
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
     * Encodes the entry of a worker.
     *
     * @param id the identifier of the worker
     * @param service the service that the worker belongs to
     * @param address the address of the worker, of which only the port is stored
     * @param draining whether the worker is about to leave
     * @param capacity the total resources of the worker
     * @param born when the worker booted, in milliseconds since 1970
     * @return the encoded entry
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
     * The entry of a worker as the tests store it.
     *
     * @param id the identifier of the worker
     * @param service the service that the worker belongs to
     * @param port the port of the worker on the loopback address
     * @param draining whether the worker is about to leave
     * @param capacity the total resources of the worker
     * @param born when the worker booted, in milliseconds since 1970
     */
    public record Entry(
            String id, String service, int port, boolean draining, Resources capacity, long born) {}
}
