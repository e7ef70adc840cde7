package org.damasktiller.node.cluster;

import org.jspecify.annotations.Nullable;

/**
 * The stored value of the key that registers a living process. The key is written under the lease
 * of the process, so that it disappears soon after the process dies.
 *
 * @param node the name of the VM
 * @param process a random identifier of the process, different after each start
 * @param zone the availability zone of the VM
 * @param near whether the round trip to the store is short enough for both to be in one region
 * @param cpuMillicores the processor time of the VM, in thousandths of a core, 0 if it is not known
 * @param startedUnixMillis when the process started, in milliseconds since 1970, 0 if it is not
 *     known
 * @param peerAddress the address on which the process takes requests of its peers, in the form
 *     IP:PORT; null or empty if it takes none
 * @param withManifest whether the process had a manifest when it registered, without which it can't
 *     own a cell; null if that is not known
 */
public record NodeRecord(
        String node,
        String process,
        String zone,
        boolean near,
        int cpuMillicores,
        long startedUnixMillis,
        @Nullable String peerAddress,
        @Nullable Boolean withManifest) {

    /**
     * Tells whether the process can own a cell.
     *
     * @return whether it had a manifest when it registered; true if that is not known
     */
    boolean canOwn() {
        return withManifest == null || withManifest;
    }
}
