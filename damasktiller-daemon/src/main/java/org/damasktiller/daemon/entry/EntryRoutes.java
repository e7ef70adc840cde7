package org.damasktiller.daemon.entry;

import io.activej.http.HttpMethod;
import io.activej.http.RoutingServlet;
import io.activej.promise.Promise;
import org.damasktiller.daemon.gateway.InteractiveGateway;
import org.damasktiller.daemon.metrics.MetricsServlet;
import org.damasktiller.daemon.operator.DrainBody;
import org.damasktiller.daemon.operator.OperatorPaths;
import org.damasktiller.daemon.operator.TableServlets;
import org.damasktiller.standin.http.JsonServlets;

/** Makes the routes of an entry VM's listeners. */
final class EntryRoutes {

    /** The parts of the VM. */
    private final EntryParts parts;

    /** Starts to drain the VM. */
    private final Runnable drain;

    /**
     * Creates the maker of routes.
     *
     * @param parts the parts of the VM
     * @param drain starts to drain the VM
     */
    EntryRoutes(EntryParts parts, Runnable drain) {
        this.parts = parts;
        this.drain = drain;
    }

    /**
     * Makes the routes of the callers' listener.
     *
     * @return the routes
     */
    RoutingServlet callers() {
        return RoutingServlet.builder(parts.eventloop())
                .with(HttpMethod.POST, InteractiveGateway.PATH, parts.gateway())
                .merge(parts.jobs().routes(parts.eventloop()))
                .merge(HealthServlets.create(parts.eventloop(), parts::readiness))
                .build();
    }

    /**
     * Makes the routes of the operators' listener.
     *
     * @return the routes
     */
    RoutingServlet operators() {
        TableServlets tables = new TableServlets(parts.repository(), version -> parts.readTable());
        return RoutingServlet.builder(parts.eventloop())
                .with(
                        HttpMethod.GET,
                        OperatorPaths.METRICS,
                        new MetricsServlet(parts.metrics().registry()))
                .with(
                        HttpMethod.GET,
                        OperatorPaths.STATUS,
                        JsonServlets.get(request -> parts.status()))
                .with(
                        HttpMethod.POST,
                        OperatorPaths.DRAIN,
                        JsonServlets.get(request -> Promise.of(startDraining())))
                .merge(tables.routes(parts.eventloop()))
                .merge(HealthServlets.create(parts.eventloop(), parts::readiness))
                .build();
    }

    /**
     * Starts to drain the VM.
     *
     * @return the state of the VM
     */
    private DrainBody startDraining() {
        drain.run();
        return new DrainBody(parts.self().value(), parts.readiness().name(), parts.inFlight());
    }
}
