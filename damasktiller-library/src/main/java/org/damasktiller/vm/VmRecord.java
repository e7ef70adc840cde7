package org.damasktiller.vm;

import org.damasktiller.identity.RackName;
import org.damasktiller.identity.ZoneName;

/**
 * Holds one line of the platform's list of VMs.
 *
 * @param name the name of the VM, unique in the list
 * @param address the IP address and port on which it is reached
 * @param zone the availability zone
 * @param rack the rack
 * @param role what the VM does
 * @param state what the platform says of it
 */
public record VmRecord(
        String name, String address, ZoneName zone, RackName rack, VmRole role, VmState state) {}
