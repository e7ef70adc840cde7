package org.damasktiller.scheduler.model;

import java.util.Comparator;
import java.util.List;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * The operator's configuration of one version.
 *
 * @param version its version
 * @param routes the queues
 * @param services the services
 * @param limits the limits on requests
 */
public record Manifest(
        long version, List<Route> routes, Set<String> services, IngressLimits limits) {

    /** Copies the lists. */
    public Manifest {
        routes = List.copyOf(routes);
        services = Set.copyOf(services);
    }

    /**
     * Finds the route of a request: the one of its host with the longest prefix of its path.
     *
     * @param host the host without a port
     * @param path the path
     * @return the route, or null if there is none
     */
    public @Nullable Route route(String host, String path) {
        return routes.stream()
                .filter(route -> route.host().equalsIgnoreCase(host))
                .filter(route -> path.startsWith(route.pathPrefix()))
                .max(Comparator.comparingInt(route -> route.pathPrefix().length()))
                .orElse(null);
    }

    /**
     * Finds a route by its name.
     *
     * @param name the name
     * @return the route, or null if this version has none of that name
     */
    public @Nullable Route byName(String name) {
        return routes.stream().filter(route -> route.name().equals(name)).findFirst().orElse(null);
    }
}
