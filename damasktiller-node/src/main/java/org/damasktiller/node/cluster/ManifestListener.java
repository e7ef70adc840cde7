package org.damasktiller.node.cluster;

import org.damasktiller.scheduler.model.Manifest;

/** Receives the versions of the operator's manifest. */
public interface ManifestListener {

    /**
     * Called with each version that this process puts in force.
     *
     * @param manifest the version
     */
    void updateManifest(Manifest manifest);

    /**
     * Called with each version that this process has read from the operator's key in the store.
     *
     * @param manifest the version
     * @param revision the store's revision of the version
     */
    void onManifestRead(Manifest manifest, long revision);
}
