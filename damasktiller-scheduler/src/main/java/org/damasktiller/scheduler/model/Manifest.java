package org.damasktiller.scheduler.model;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * One version of the operator's configuration.
 *
 * @param version the version number, higher for later manifests
 * @param routes the queues that accept submissions
 * @param services the names of the services that workers may belong to
 * @param unguardedServices the names of those whose workers start what exceeds their capacity
 * @param limits the limits on requests of callers
 */
public record Manifest(
        long version,
        List<Route> routes,
        Set<String> services,
        Set<String> unguardedServices,
        IngressLimits limits) {

    /** Makes immutable copies of the collections. */
    public Manifest {
        routes = List.copyOf(routes);
        services = Set.copyOf(services);
        unguardedServices = Set.copyOf(unguardedServices);
    }

    /**
     * Creates a manifest in which all workers refuse what exceeds their capacity.
     *
     * @param version the version number
     * @param routes the queues that accept submissions
     * @param services the names of the services that workers may belong to
     * @param limits the limits on requests of callers
     */
    public Manifest(long version, List<Route> routes, Set<String> services, IngressLimits limits) {
        this(version, routes, services, Set.of(), limits);
    }

    /**
     * Finds the route of a request. Among the routes of the host, the one with the longest path
     * prefix that matches is chosen. Hosts are compared without regard to case.
     *
     * @param host the requested host, without a port
     * @param path the path of the request
     * @return the route, or null if no route matches
     */
    public @Nullable Route findRoute(String host, String path) {
        return routes.stream()
                .filter(route -> route.host().equalsIgnoreCase(host))
                .filter(route -> path.startsWith(route.pathPrefix()))
                .max(Comparator.comparingInt(route -> route.pathPrefix().length()))
                .orElse(null);
    }

    /**
     * Tells whether the workers of a service are known to refuse what exceeds their capacity.
     *
     * @param service the name of the service
     * @return whether they do; false if this version of the manifest lacks the service
     */
    public boolean guardsCapacity(String service) {
        return services.contains(service) && !unguardedServices.contains(service);
    }

    /**
     * Finds a route by name.
     *
     * @param name the name of the route
     * @return the route, or null if this version of the manifest has no route with that name
     */
    public @Nullable Route findRouteByName(String name) {
        return routes.stream().filter(route -> route.name().equals(name)).findFirst().orElse(null);
    }

    /**
     * Returns the routes by name, for looking up many of them.
     *
     * @return a new map; of routes with the same name, the first one
     */
    public Map<String, Route> routesByName() {
        Map<String, Route> routesByName = new HashMap<>();
        routes.forEach(route -> routesByName.putIfAbsent(route.name(), route));
        return routesByName;
    }
}
