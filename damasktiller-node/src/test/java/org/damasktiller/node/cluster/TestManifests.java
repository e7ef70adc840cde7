package org.damasktiller.node.cluster;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.damasktiller.scheduler.cell.StoredValueCodec;
import org.damasktiller.scheduler.model.IngressLimits;
import org.damasktiller.scheduler.model.Manifest;
import org.damasktiller.scheduler.model.Route;
import org.damasktiller.scheduler.port.DecodedWorker;
import org.damasktiller.scheduler.port.PlatformRecordDecoder;
import org.jspecify.annotations.Nullable;

/** Creates manifests, and encodes and decodes them in a form of their own. */
public final class TestManifests {

    /** The key of the manifest. */
    public static final String KEY = "operator/manifest";

    /** Decodes what {@link #encode} has written. */
    public static final PlatformRecordDecoder DECODER =
            new PlatformRecordDecoder() {
                @Override
                public String workerKeyPrefix() {
                    return "worker/";
                }

                @Override
                public String manifestKey() {
                    return KEY;
                }

                @Override
                public String evacuationKeyPrefix() {
                    return "evacuations/";
                }

                @Override
                public DecodedWorker decodeWorker(String id, byte[] value) {
                    return DecodedWorker.unusable("", "not an entry");
                }

                @Override
                public @Nullable Manifest decodeManifest(byte[] value) {
                    return StoredValueCodec.decode(value, Manifest.class);
                }
            };

    /** Prevents instantiation. */
    private TestManifests() {}

    /** Encodes a version as the operator writes it. */
    public static byte[] encode(Manifest manifest) {
        return StoredValueCodec.encode(manifest);
    }

    /** Creates a version whose routes have some names. */
    public static Manifest of(long version, List<String> routeNames) {
        List<Route> routes = routeNames.stream().map(name -> route(name, 1)).toList();
        return new Manifest(version, routes, Set.of("service"), new IngressLimits(1_000, 2_000));
    }

    /**
     * Creates a version with a random subset of 40 routes, in random order and with random limits.
     */
    static Manifest random(long version, Random random) {
        List<Route> routes = new ArrayList<>();
        for (int index = 0; index < 40; index++) {
            if (random.nextInt(4) > 0) {
                Route route = route("route-" + index, 1 + random.nextInt(3));
                routes.add(random.nextInt(routes.size() + 1), route);
            }
        }
        return new Manifest(
                version,
                routes,
                Set.of("service", "service-" + random.nextInt(2)),
                random.nextBoolean() ? Set.of("service") : Set.of(),
                new IngressLimits(1_000 + random.nextInt(3), 2_000));
    }

    private static Route route(String name, int maximumAttempts) {
        return new Route(
                name, "host", "/" + name + "/", "service", 0, maximumAttempts, 1.5, 100, false);
    }

    /** Returns a value that is neither a version nor a change. */
    static byte[] unreadable() {
        return "{\"version\":".getBytes(StandardCharsets.UTF_8);
    }
}
