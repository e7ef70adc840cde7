package org.damasktiller.node.caller;

/**
 * A VM to which requests can be passed on.
 *
 * @param node the name of the VM
 * @param zone its availability zone
 * @param address the address for requests of its peers, in the form IP:PORT
 */
record RelayPeer(String node, String zone, String address) {}
