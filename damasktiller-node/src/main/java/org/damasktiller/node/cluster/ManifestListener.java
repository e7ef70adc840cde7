package org.damasktiller.node.cluster;

import org.damasktiller.scheduler.model.Manifest;

/** Receives the versions of the operator's manifest that a process puts in force. */
@FunctionalInterface
public interface ManifestListener {

    /**
     * Called with each version, in the order of their revisions.
     *
     * @param manifest the version
     * @param revision the store's revision of the version
     * @param published whether it results from a change that another process has published; else it
     *     was read from the operator's key
     */
    void onManifest(Manifest manifest, long revision, boolean published);
}
