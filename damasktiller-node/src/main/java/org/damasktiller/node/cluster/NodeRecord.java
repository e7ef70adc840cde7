package org.damasktiller.node.cluster;

/**
 * The value of the key by which a process shows that it lives.
 *
 * @param node the name of the VM
 * @param process the number of the process, different after each start
 * @param zone the availability zone
 * @param near whether the store is in reach within a region
 */
public record NodeRecord(String node, String process, String zone, boolean near) {}
