package org.damasktiller.benchmark.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.damasktiller.benchmark.FigureReport;
import org.damasktiller.identity.EndpointId;
import org.damasktiller.identity.KindName;
import org.damasktiller.identity.RegionName;
import org.damasktiller.identity.TenantName;
import org.damasktiller.identity.ZoneName;
import org.damasktiller.routing.AttemptOutcome;
import org.damasktiller.routing.EndpointDescription;
import org.damasktiller.routing.RequestRouter;
import org.damasktiller.routing.RoutingAction;
import org.damasktiller.routing.RoutingRequest;
import org.damasktiller.table.KindOfWork;

/** Measures the decisions of a gateway for each request. */
final class RouterCapacity {

    /** An availability zone. */
    private static final ZoneName ZONE = new ZoneName("leinster-1");

    /** A region. */
    private static final RegionName REGION = new RegionName("leinster");

    /** The numbers of endpoints of a router. */
    private static final int[] ENDPOINTS = {15, 150, 1_500};

    /** The number of milliseconds in a second. */
    private static final int MILLIS = 1_000;

    /** The number of requests while the router is measured. */
    private static final int REQUESTS = 20_000;

    /** The slots of an endpoint. */
    private static final int SLOTS = 8;

    /** The connections of an endpoint. */
    private static final int CONNECTIONS = 64;

    /** Prevents instantiation. */
    private RouterCapacity() {}

    /**
     * Measures the router of a gateway.
     *
     * @param report where the figures go
     */
    static void measure(FigureReport report) {
        routerNanosPerRequest(ENDPOINTS[0]);
        Slope.of(ENDPOINTS, RouterCapacity::routerNanosPerRequest)
                .report(report, "router_request", "ns/endpoint");
        Slope.of(ENDPOINTS, count -> Resource.heapOf(() -> router(count)))
                .report(report, "router_heap", "bytes/endpoint");
    }

    /**
     * Measures the decisions for one request.
     *
     * @param endpoints the number of endpoints
     * @return the nanoseconds
     */
    private static double routerNanosPerRequest(int endpoints) {
        RequestRouter router = router(endpoints);
        KindOfWork kind =
                KindOfWork.builder(new KindName("lookup"), new TenantName("office")).build();
        double nanos =
                Resource.processorNanosOf(
                        () -> {
                            for (int number = 1; number <= REQUESTS; number++) {
                                route(router, kind, number);
                            }
                        });
        return nanos / REQUESTS;
    }

    /**
     * Routes one request to its answer.
     *
     * @param router the router
     * @param kind the kind of work
     * @param number the number of the request
     */
    private static void route(RequestRouter router, KindOfWork kind, int number) {
        long nowMillis = (long) MILLIS * MILLIS + number;
        RoutingRequest request =
                new RoutingRequest(number, kind, kind.tenant(), null, nowMillis + MILLIS, true);
        for (RoutingAction action : router.submit(request, nowMillis)) {
            if (action instanceof RoutingAction.Send send) {
                router.completed(number, send.attempt(), AttemptOutcome.ANSWERED, nowMillis + 2);
            }
        }
    }

    /**
     * Makes a router.
     *
     * @param endpoints the number of endpoints
     * @return the router
     */
    private static RequestRouter router(int endpoints) {
        RequestRouter router = RequestRouter.builder(ZONE, REGION, new SplittableRandom(1)).build();
        List<EndpointDescription> listed = new ArrayList<>();
        for (int index = 0; index < endpoints; index++) {
            listed.add(
                    new EndpointDescription(
                            new EndpointId("endpoint-" + index),
                            "10.1.0.1:" + index,
                            ZONE,
                            REGION,
                            SLOTS,
                            CONNECTIONS,
                            false));
        }
        router.replaceEndpoints(listed, 0);
        return router;
    }
}
