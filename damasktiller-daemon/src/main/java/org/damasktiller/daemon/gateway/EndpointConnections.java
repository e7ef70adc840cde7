package org.damasktiller.daemon.gateway;

import io.activej.reactor.nio.NioReactor;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.damasktiller.routing.EndpointAllowance;
import org.damasktiller.routing.EndpointDescription;
import org.jspecify.annotations.Nullable;

/**
 * Keeps the connections to all endpoints within our part of each endpoint's total, and probes those
 * that are idle. Used on its reactor's thread only.
 */
final class EndpointConnections {

    /** The idle connections by address, the one used last first. */
    private final Map<String, ArrayDeque<EndpointConnection>> idle = new HashMap<>();

    /** The number of connections by address, those in use and those under a probe included. */
    private final Map<String, Integer> open = new HashMap<>();

    /** The reactor. */
    private final NioReactor reactor;

    /** The limits. */
    private final GatewayLimits limits;

    /** Our part of each endpoint. */
    private final EndpointAllowance allowance;

    /**
     * Creates an empty set.
     *
     * @param reactor the reactor
     * @param limits the limits
     * @param allowance our part of each endpoint
     */
    EndpointConnections(NioReactor reactor, GatewayLimits limits, EndpointAllowance allowance) {
        this.reactor = reactor;
        this.limits = limits;
        this.allowance = allowance;
    }

    /**
     * Takes a connection for one request.
     *
     * @param endpoint the endpoint
     * @return an idle or a new connection, or null if our part of the endpoint is used up
     */
    @Nullable EndpointConnection take(EndpointDescription endpoint) {
        ArrayDeque<EndpointConnection> waiting = idle.get(endpoint.address());
        EndpointConnection connection = waiting == null ? null : waiting.pollFirst();
        if (connection != null) {
            return connection;
        }
        int allowed = allowance.connections(endpoint, reactor.currentTimeMillis());
        if (openConnections(endpoint.address()) >= allowed) {
            return null;
        }
        open.merge(endpoint.address(), 1, Integer::sum);
        return new EndpointConnection(reactor, endpoint.address(), limits);
    }

    /**
     * Gives back a connection after a request.
     *
     * @param endpoint the endpoint
     * @param connection the connection
     */
    void giveBack(EndpointDescription endpoint, EndpointConnection connection) {
        String address = endpoint.address();
        int allowed = allowance.connections(endpoint, reactor.currentTimeMillis());
        if (endpoint.leaving() || openConnections(address) > allowed) {
            connection.close();
        }
        if (connection.closed()) {
            forget(address);
            return;
        }
        idle.computeIfAbsent(address, any -> new ArrayDeque<>()).addFirst(connection);
    }

    /**
     * Closes the idle connections to addresses that are not in use any more.
     *
     * @param addresses the addresses in use
     */
    void retain(Set<String> addresses) {
        Iterator<Map.Entry<String, ArrayDeque<EndpointConnection>>> entries =
                idle.entrySet().iterator();
        while (entries.hasNext()) {
            Map.Entry<String, ArrayDeque<EndpointConnection>> entry = entries.next();
            if (addresses.contains(entry.getKey())) {
                continue;
            }
            for (EndpointConnection connection : entry.getValue()) {
                connection.close();
                forget(entry.getKey());
            }
            entries.remove();
        }
    }

    /** Probes the connections that have been idle for long; those without an answer are closed. */
    void probeIdle() {
        long before = reactor.currentTimeMillis() - limits.probeIdleMillis();
        for (Map.Entry<String, ArrayDeque<EndpointConnection>> entry : idle.entrySet()) {
            List<EndpointConnection> due = new ArrayList<>();
            entry.getValue().stream().filter(c -> c.usedMillis() <= before).forEach(due::add);
            entry.getValue().removeAll(due);
            due.forEach(connection -> probe(entry.getKey(), connection));
        }
    }

    /** Closes all idle connections. */
    void close() {
        retain(Set.of());
    }

    /**
     * Returns the number of connections to an address.
     *
     * @param address the address
     * @return the number
     */
    int openConnections(String address) {
        return open.getOrDefault(address, 0);
    }

    /**
     * Probes one connection, which is not idle meanwhile.
     *
     * @param address the address
     * @param connection the connection
     */
    private void probe(String address, EndpointConnection connection) {
        connection
                .probe(reactor.currentTimeMillis())
                .whenResult(
                        alive -> {
                            if (alive && !connection.closed()) {
                                idle.computeIfAbsent(address, any -> new ArrayDeque<>())
                                        .addLast(connection);
                            } else {
                                forget(address);
                            }
                        });
    }

    /**
     * Counts a connection as closed.
     *
     * @param address the address
     */
    private void forget(String address) {
        open.computeIfPresent(address, (any, count) -> count > 1 ? count - 1 : null);
    }
}
