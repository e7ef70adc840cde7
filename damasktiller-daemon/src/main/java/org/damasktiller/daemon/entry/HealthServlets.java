package org.damasktiller.daemon.entry;

import io.activej.http.AsyncServlet;
import io.activej.http.HttpMethod;
import io.activej.http.RoutingServlet;
import io.activej.promise.Promise;
import io.activej.reactor.Reactor;
import java.util.function.Supplier;
import org.damasktiller.standin.http.JsonResponses;

/** Answers the health checks of the platform and its balancer. */
final class HealthServlets {

    /** The path of the check whether the process is alive. */
    static final String LIVE_PATH = "/health/live";

    /** The path of the check whether the VM takes new work. */
    static final String READY_PATH = "/health/ready";

    /** The status of a VM that takes no new work. */
    private static final int UNAVAILABLE = 503;

    /** The status of a VM that is well. */
    private static final int OK = 200;

    /** Prevents instantiation. */
    private HealthServlets() {}

    /**
     * Makes the servlet for both checks.
     *
     * @param reactor the reactor that serves
     * @param readiness tells whether the VM takes new work
     * @return the servlet
     */
    static RoutingServlet create(Reactor reactor, Supplier<Readiness> readiness) {
        AsyncServlet live =
                request -> Promise.of(JsonResponses.ok(new HealthBody(Readiness.READY.name())));
        AsyncServlet ready =
                request -> {
                    Readiness present = readiness.get();
                    int status = present == Readiness.READY ? OK : UNAVAILABLE;
                    return Promise.of(
                            JsonResponses.withStatus(status, new HealthBody(present.name())));
                };
        return RoutingServlet.builder(reactor)
                .with(HttpMethod.GET, LIVE_PATH, live)
                .with(HttpMethod.GET, READY_PATH, ready)
                .build();
    }

    /**
     * The body of a health check's answer.
     *
     * @param state the state of the VM
     */
    record HealthBody(String state) {}
}
