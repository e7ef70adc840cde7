package org.damasktiller.lab.soak;

import org.damasktiller.standin.metadata.InMemoryStore;

/** The store forgets its history, or lets every lease end unseen. */
final class StoreFault implements Fault {

    /** The store. */
    private final InMemoryStore store;

    /** Whether leases end, or else the history is forgotten. */
    private final boolean endsLeases;

    /**
     * Creates a fault.
     *
     * @param store the store
     * @param endsLeases whether leases end, or else the history is forgotten
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
        return endsLeases ? "store ends every lease" : "store forgets its history";
    }
}
