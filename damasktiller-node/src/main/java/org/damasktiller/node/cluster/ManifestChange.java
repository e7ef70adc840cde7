package org.damasktiller.node.cluster;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.zip.CRC32C;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterInputStream;
import org.damasktiller.scheduler.cell.StoredValueCodec;
import org.damasktiller.scheduler.model.IngressLimits;
import org.damasktiller.scheduler.model.Manifest;
import org.damasktiller.scheduler.model.Route;
import org.jspecify.annotations.Nullable;

/**
 * The difference between two versions of the manifest, as one process publishes it for the others.
 * It is much smaller than a version if few routes have changed.
 *
 * @param fromRevision the store's revision of the former version
 * @param toRevision the store's revision of the later version
 * @param version the number of the later version
 * @param changedRoutes the routes that were added or changed
 * @param removedRoutes the names of the routes that were removed
 * @param services the names of all services of the later version
 * @param unguardedServices the names of those whose workers start what exceeds their capacity; a
 *     record of an earlier release has none
 * @param limits the limits of the later version
 * @param checksum the checksum of the later version
 */
public record ManifestChange(
        long fromRevision,
        long toRevision,
        long version,
        List<Route> changedRoutes,
        List<String> removedRoutes,
        Set<String> services,
        Set<String> unguardedServices,
        IngressLimits limits,
        long checksum) {

    /** The largest decoded change, in bytes; more is cut off and can't be read. */
    private static final int MAX_DECODED_BYTES = 16 << 20;

    /** Makes immutable copies of the collections. */
    public ManifestChange {
        changedRoutes = List.copyOf(changedRoutes);
        removedRoutes = List.copyOf(removedRoutes);
        services = Set.copyOf(services);
        unguardedServices = Set.copyOf(Objects.requireNonNullElse(unguardedServices, Set.of()));
    }

    /**
     * Returns the difference between two versions.
     *
     * @param fromRevision the store's revision of the former version
     * @param from the former version
     * @param toRevision the store's revision of the later version
     * @param to the later version
     * @return the difference
     */
    static ManifestChange between(long fromRevision, Manifest from, long toRevision, Manifest to) {
        Map<String, Route> former = byName(from);
        Map<String, Route> later = byName(to);
        List<Route> changed =
                later.values().stream()
                        .filter(route -> !route.equals(former.get(route.name())))
                        .toList();
        List<String> removed =
                former.keySet().stream().filter(name -> !later.containsKey(name)).toList();
        return new ManifestChange(
                fromRevision,
                toRevision,
                to.version(),
                changed,
                removed,
                to.services(),
                to.unguardedServices(),
                to.limits(),
                checksum(to));
    }

    /**
     * Encodes the change for the store, compressed, since each process reads it.
     *
     * @return the value to store
     */
    byte[] encode() {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DeflaterOutputStream deflater = new DeflaterOutputStream(bytes)) {
            deflater.write(StoredValueCodec.encode(this));
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
        return bytes.toByteArray();
    }

    /**
     * Decodes a stored change.
     *
     * @param value the stored value
     * @return the change, or null if the value is not one
     */
    static @Nullable ManifestChange decode(byte[] value) {
        try (InflaterInputStream inflater =
                new InflaterInputStream(new ByteArrayInputStream(value))) {
            byte[] json = inflater.readNBytes(MAX_DECODED_BYTES);
            return StoredValueCodec.decode(json, ManifestChange.class);
        } catch (IOException exception) {
            return null;
        }
    }

    /**
     * Returns the later version.
     *
     * @param from the former version
     * @return the later version, or null if the result is not the version that was published
     */
    @Nullable Manifest applyTo(Manifest from) {
        Map<String, Route> routes = byName(from);
        removedRoutes.forEach(routes::remove);
        changedRoutes.forEach(route -> routes.put(route.name(), route));
        Manifest to =
                new Manifest(
                        version, List.copyOf(routes.values()), services, unguardedServices, limits);
        return checksum(to) == checksum ? to : null;
    }

    /**
     * Returns the routes of a version.
     *
     * @param manifest the version
     * @return a new map of the routes by name, in the order of the version
     */
    private static Map<String, Route> byName(Manifest manifest) {
        Map<String, Route> routes = new LinkedHashMap<>();
        manifest.routes().forEach(route -> routes.put(route.name(), route));
        return routes;
    }

    /**
     * Returns a checksum of a version that does not depend on the order of its routes and services.
     *
     * @param manifest the version
     * @return the checksum
     */
    private static long checksum(Manifest manifest) {
        Map<String, Object> content = new LinkedHashMap<>();
        content.put("version", manifest.version());
        content.put(
                "routes",
                manifest.routes().stream().sorted(Comparator.comparing(Route::name)).toList());
        content.put("services", manifest.services().stream().sorted().toList());
        if (!manifest.unguardedServices().isEmpty()) {
            content.put(
                    "unguardedServices", manifest.unguardedServices().stream().sorted().toList());
        }
        content.put("limits", manifest.limits());
        CRC32C checksum = new CRC32C();
        checksum.update(StoredValueCodec.encode(content));
        return checksum.getValue();
    }
}
