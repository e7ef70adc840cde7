package org.damasktiller.node.cluster;

/**
 * Identifies one process of an entry VM.
 *
 * @param node the name of the VM
 * @param process a random identifier of the process, different after each start
 * @param zone the availability zone of the VM
 * @param cpuMillicores the processor time of the VM, in thousandths of a core, 0 if it is not known
 * @param startedUnixMillis when the process started, in milliseconds since 1970
 * @param peerAddress the address on which the process takes requests of its peers, in the form
 *     IP:PORT; empty if it takes none
 */
public record NodeIdentity(
        String node,
        String process,
        String zone,
        int cpuMillicores,
        long startedUnixMillis,
        String peerAddress) {}
