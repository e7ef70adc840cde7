package org.damasktiller.authority.claim;

import org.damasktiller.authority.ownership.OwnerIdentity;

/**
 * Makes the nonces of one process. They differ from those of every other process because its
 * identity does, also from those of an earlier process on the same VM. Not safe for use by several
 * threads.
 */
public final class ClaimNonces {

    /** The identity of the process. */
    private final OwnerIdentity self;

    /** The number of nonces made. */
    private long made;

    /**
     * Creates a source of nonces, of which a process must have one only.
     *
     * @param self the identity of the process
     */
    public ClaimNonces(OwnerIdentity self) {
        this.self = self;
    }

    /**
     * Makes a nonce.
     *
     * @return the nonce
     */
    public ClaimNonce next() {
        made++;
        return new ClaimNonce(self.text() + " " + made);
    }
}
