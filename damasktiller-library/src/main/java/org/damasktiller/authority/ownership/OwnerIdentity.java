package org.damasktiller.authority.ownership;

import org.damasktiller.identity.VmId;

/**
 * Identifies one process that can own logs.
 *
 * @param vm the entry VM
 * @param process a text that no other process of any entry VM ever carries
 */
public record OwnerIdentity(VmId vm, String process) {

    /**
     * Returns the identity as one text.
     *
     * @return the text
     */
    public String text() {
        return vm + " " + process;
    }
}
