package org.damasktiller.lab.rig;

/**
 * What the process of an entry VM may use.
 *
 * @param heapMegabytes the size of the heap, in megabytes
 * @param maximumDescriptors the number of descriptors that it may have open, as its settings tell
 *     it
 */
public record ProcessLimits(int heapMegabytes, int maximumDescriptors) {

    /** The limits in the deployment file {@code deploy/system.toml} and on the smallest VMs. */
    public static final ProcessLimits DEPLOYED = new ProcessLimits(128, 4_100);
}
