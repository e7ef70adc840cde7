package org.damasktiller.scheduler.port;

import org.damasktiller.scheduler.model.Manifest;
import org.jspecify.annotations.Nullable;

/**
 * Locates and decodes the records that the platform itself keeps in the store: the entries of the
 * workers and the operator's manifest.
 */
public interface PlatformRecordDecoder {

    /**
     * Returns the prefix of the keys under which workers register.
     *
     * @return the prefix, to which the identifier of a worker is appended
     */
    String workerKeyPrefix();

    /**
     * Returns the key under which the operator's manifest is stored.
     *
     * @return the key
     */
    String manifestKey();

    /**
     * Returns the prefix of the keys under which operators request that zones be evacuated. A key
     * holds a request whatever its value is.
     *
     * @return the prefix, to which the name of a zone is appended
     */
    String evacuationKeyPrefix();

    /**
     * Decodes the entry of a worker. Never throws, whatever the bytes are.
     *
     * @param id the identifier of the worker, taken from the key
     * @param value the stored bytes
     * @return the entry, or what keeps the bytes from being a valid one
     */
    DecodedWorker decodeWorker(String id, byte[] value);

    /**
     * Decodes a manifest.
     *
     * @param value the stored bytes
     * @return the manifest, or null if the bytes are not a valid manifest
     */
    @Nullable Manifest decodeManifest(byte[] value);
}
