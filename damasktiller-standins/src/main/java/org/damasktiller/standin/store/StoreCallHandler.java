package org.damasktiller.standin.store;

import org.damasktiller.authority.call.GrantLeaseCall;
import org.damasktiller.authority.call.LeaseGrantedAnswer;
import org.damasktiller.authority.call.LeaseRenewedAnswer;
import org.damasktiller.authority.call.LeaseRevokedAnswer;
import org.damasktiller.authority.call.ReadAnswer;
import org.damasktiller.authority.call.ReadCall;
import org.damasktiller.authority.call.RenewLeaseCall;
import org.damasktiller.authority.call.RevokeLeaseCall;
import org.damasktiller.authority.call.StoreAnswer;
import org.damasktiller.authority.call.StoreCall;
import org.damasktiller.authority.call.SwapAnswer;
import org.damasktiller.authority.call.SwapCall;

/** Carries out calls on the stand-in key-value service. */
public final class StoreCallHandler {

    /** Prevents instantiation. */
    private StoreCallHandler() {}

    /**
     * Carries out one call.
     *
     * @param store the keys and leases
     * @param call the call
     * @param nowMillis the time, in milliseconds
     * @return the answer
     * @throws org.damasktiller.error.DamasktillerException as {@link StoreState#compareAndSwap}
     *     says
     */
    public static StoreAnswer handle(StoreState store, StoreCall call, long nowMillis) {
        if (call instanceof ReadCall read) {
            return new ReadAnswer(store.get(read.key(), nowMillis));
        }
        if (call instanceof SwapCall swap) {
            return new SwapAnswer(store.compareAndSwap(swap.request(), nowMillis));
        }
        if (call instanceof GrantLeaseCall grant) {
            return new LeaseGrantedAnswer(store.grantLease(grant.durationMillis(), nowMillis));
        }
        if (call instanceof RenewLeaseCall renew) {
            return new LeaseRenewedAnswer(store.renewLease(renew.leaseId(), nowMillis));
        }
        store.revokeLease(((RevokeLeaseCall) call).leaseId(), nowMillis);
        return new LeaseRevokedAnswer();
    }
}
