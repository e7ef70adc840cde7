package org.damasktiller.verification.owner;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import org.damasktiller.scheduler.cell.StoredValueCodec;
import org.damasktiller.scheduler.model.Manifest;
import org.damasktiller.scheduler.model.Resources;
import org.damasktiller.scheduler.model.WorkerEntry;
import org.damasktiller.scheduler.port.DecodedWorker;
import org.damasktiller.scheduler.port.PlatformRecordDecoder;
import org.jspecify.annotations.Nullable;

/**
 * Encodes and decodes the platform's records in a format of the tests, so that they do not depend
 * on the real format. There is no manifest.
 */
final class TestRecordCodec implements PlatformRecordDecoder {

    /** The prefix of the keys under which workers register. */
    static final String WORKER_KEY_PREFIX = "workers/";

    /** The prefix of the keys of requests to evacuate zones. */
    static final String EVACUATION_KEY_PREFIX = "evacuations/";

    @Override
    public String workerKeyPrefix() {
        return WORKER_KEY_PREFIX;
    }

    @Override
    public String manifestKey() {
        return "manifest";
    }

    @Override
    public String evacuationKeyPrefix() {
        return EVACUATION_KEY_PREFIX;
    }

    @Override
    public DecodedWorker decodeWorker(String id, byte[] value) {
        Entry entry = StoredValueCodec.decode(value, Entry.class);
        return entry == null
                ? DecodedWorker.unusable("", "not an entry")
                : DecodedWorker.of(
                        new WorkerEntry(
                                id,
                                entry.service(),
                                new InetSocketAddress(
                                        InetAddress.getLoopbackAddress(), entry.port()),
                                entry.zone(),
                                entry.draining(),
                                2_000,
                                entry.capacity(),
                                entry.labels() == null ? List.of("rack") : entry.labels(),
                                entry.bootUnixMillis(),
                                entry.coldRemainingMillis()));
    }

    @Override
    public @Nullable Manifest decodeManifest(byte[] value) {
        return null;
    }

    /**
     * Encodes the entry of a worker.
     *
     * @param entry the entry
     * @return the encoded entry
     */
    static byte[] encode(Entry entry) {
        return StoredValueCodec.encode(entry);
    }

    /**
     * The entry of a worker as the tests store it.
     *
     * @param id the identifier of the worker
     * @param service the service that the worker belongs to
     * @param port the port of the worker on the loopback address
     * @param zone the availability zone of the worker
     * @param draining whether the worker is about to leave
     * @param capacity the total resources of the worker
     * @param labels the labels of the worker; null for those of a worker of no special kind
     * @param bootUnixMillis when the worker booted, in milliseconds since 1970
     * @param coldRemainingMillis how much longer the worker stays slow, in milliseconds
     */
    public record Entry(
            String id,
            String service,
            int port,
            String zone,
            boolean draining,
            Resources capacity,
            @Nullable List<String> labels,
            long bootUnixMillis,
            long coldRemainingMillis) {}
}
