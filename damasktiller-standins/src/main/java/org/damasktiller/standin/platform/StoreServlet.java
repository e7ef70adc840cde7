package org.damasktiller.standin.platform;

import io.activej.http.AsyncServlet;
import io.activej.http.HttpMethod;
import io.activej.http.RoutingServlet;
import io.activej.promise.Promise;
import io.activej.reactor.Reactor;
import org.damasktiller.standin.client.store.HttpKeyValueStore;
import org.damasktiller.standin.client.store.StoreCall;
import org.damasktiller.standin.client.store.StoreReply;
import org.damasktiller.standin.http.JsonServlets;
import org.damasktiller.standin.store.StoreFaults;
import org.damasktiller.standin.store.StoreService;

/** Serves the stand-in key-value service over HTTP; {@code /faults} sets its faults. */
public final class StoreServlet {

    /** The largest call accepted, in bytes: a value of one megabyte in base 64 with its key. */
    private static final int MAXIMUM_CALL_BYTES = 2 << 20;

    /** Prevents instantiation. */
    private StoreServlet() {}

    /**
     * Makes the servlet.
     *
     * @param reactor the reactor that serves
     * @param service the service
     * @return the servlet
     */
    public static AsyncServlet create(Reactor reactor, StoreService service) {
        return RoutingServlet.builder(reactor)
                .with(
                        HttpMethod.POST,
                        HttpKeyValueStore.PATH,
                        JsonServlets.post(
                                StoreCall.class,
                                MAXIMUM_CALL_BYTES,
                                call -> carryOut(service, call)))
                .with(
                        HttpMethod.POST,
                        "/faults",
                        JsonServlets.post(
                                StoreFaults.class,
                                MAXIMUM_CALL_BYTES,
                                faults -> {
                                    service.setFaults(faults);
                                    return Promise.of(faults);
                                }))
                .build();
    }

    /**
     * Carries out one call.
     *
     * @param service the service
     * @param call the call
     * @return the answer
     */
    private static Promise<StoreReply> carryOut(StoreService service, StoreCall call) {
        if (call instanceof StoreCall.Get get) {
            return service.get(get.key())
                    .map(value -> StoreReply.ofValues(value.stream().toList()));
        }
        if (call instanceof StoreCall.ListPrefix list) {
            return service.list(list.prefix()).map(StoreReply::ofValues);
        }
        if (call instanceof StoreCall.Swap swap) {
            return service.compareAndSwap(swap.request()).map(StoreReply::ofSwap);
        }
        if (call instanceof StoreCall.Watch watch) {
            return service.watch(watch.prefix(), watch.afterRevision(), watch.timeoutMillis())
                    .map(StoreReply::ofValues);
        }
        return carryOutLease(service, call);
    }

    /**
     * Carries out one call about a lease.
     *
     * @param service the service
     * @param call the call
     * @return the answer
     */
    private static Promise<StoreReply> carryOutLease(StoreService service, StoreCall call) {
        if (call instanceof StoreCall.Grant grant) {
            return service.grantLease(grant.durationMillis())
                    .map(leaseId -> StoreReply.ofLease(leaseId, true));
        }
        if (call instanceof StoreCall.Renew renew) {
            return service.renewLease(renew.leaseId())
                    .map(stands -> StoreReply.ofLease(renew.leaseId(), stands));
        }
        long leaseId = ((StoreCall.Revoke) call).leaseId();
        return service.revokeLease(leaseId).map(ignored -> StoreReply.ofLease(leaseId, false));
    }
}
