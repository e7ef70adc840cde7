package org.damasktiller.node.cluster;

/**
 * Names a process.
 *
 * @param node the name of the VM
 * @param process the number of the process, different after each start
 * @param zone the availability zone
 */
public record NodeIdentity(String node, String process, String zone) {}
