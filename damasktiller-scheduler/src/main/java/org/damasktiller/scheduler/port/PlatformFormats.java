package org.damasktiller.scheduler.port;

import org.damasktiller.scheduler.model.Manifest;
import org.damasktiller.scheduler.model.WorkerEntry;
import org.jspecify.annotations.Nullable;

/** Where the platform keeps its own records in the store, and how they are read. */
public interface PlatformFormats {

    /**
     * Returns the prefix of the keys of the workers' entries.
     *
     * @return the prefix
     */
    String workersPrefix();

    /**
     * Returns the key of the manifest.
     *
     * @return the key
     */
    String manifestKey();

    /**
     * Reads the entry of a worker.
     *
     * @param id the identifier, from the key
     * @param value the stored bytes
     * @return the entry, or null if the bytes are no entry of a worker that can be used
     */
    @Nullable WorkerEntry decodeWorker(String id, byte[] value);

    /**
     * Reads a manifest.
     *
     * @param value the stored bytes
     * @return the manifest, or null if the bytes are no manifest
     */
    @Nullable Manifest decodeManifest(byte[] value);
}
