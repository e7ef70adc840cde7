package org.damasktiller.authority.call;

import io.activej.promise.Promise;
import org.damasktiller.store.KeyValueStore;

/** Carries out calls on the key-value service. */
public final class StoreCalls {

    /** Prevents instantiation. */
    private StoreCalls() {}

    /**
     * Carries out one call.
     *
     * @param store the key-value service
     * @param call the call
     * @return the answer, which fails as {@link KeyValueStore} says
     */
    public static Promise<StoreAnswer> send(KeyValueStore store, StoreCall call) {
        if (call instanceof ReadCall read) {
            return store.get(read.key()).map(ReadAnswer::new);
        }
        if (call instanceof SwapCall swap) {
            return store.compareAndSwap(swap.request()).map(SwapAnswer::new);
        }
        if (call instanceof GrantLeaseCall grant) {
            return store.grantLease(grant.durationMillis()).map(LeaseGrantedAnswer::new);
        }
        if (call instanceof RenewLeaseCall renew) {
            return store.renewLease(renew.leaseId()).map(LeaseRenewedAnswer::new);
        }
        RevokeLeaseCall revoke = (RevokeLeaseCall) call;
        return store.revokeLease(revoke.leaseId()).map(ignored -> new LeaseRevokedAnswer());
    }
}
