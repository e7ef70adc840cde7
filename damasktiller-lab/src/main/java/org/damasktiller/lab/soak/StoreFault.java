package org.damasktiller.lab.soak;

import org.damasktiller.standin.metadata.InMemoryStore;

/**
 * Compacts the history of the store, and optionally ends all leases before. Watches that resume
 * from an earlier revision then fail, so that they do not see the end of the leases.
 */
final class StoreFault implements Fault {

    /** The state of the emulated store. */
    private final InMemoryStore store;

    /** Whether all leases end before the history is compacted. */
    private final boolean endsLeases;

    /**
     * Creates a fault.
     *
     * @param store the state of the emulated store
     * @param endsLeases whether all leases end before the history is compacted
     */
    StoreFault(InMemoryStore store, boolean endsLeases) {
        this.store = store;
        this.endsLeases = endsLeases;
    }

    @Override
    public void begin() {
        if (endsLeases) {
            store.revokeAllLeases();
        }
        store.compact();
    }

    @Override
    public void end() {}

    @Override
    public String describe() {
        return endsLeases ? "store ends every lease" : "store discards its history";
    }
}
