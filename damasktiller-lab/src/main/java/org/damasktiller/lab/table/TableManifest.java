package org.damasktiller.lab.table;

import java.util.List;
import java.util.Set;
import org.damasktiller.scheduler.model.IngressLimits;
import org.damasktiller.scheduler.model.Manifest;
import org.damasktiller.scheduler.model.Route;
import org.damasktiller.table.KindOfWork;
import org.damasktiller.table.OperatorTable;
import org.damasktiller.table.RepeatPolicy;
import org.damasktiller.table.WorkClass;

/**
 * Makes the platform's manifest of the operators' table: a row is a route. Weights, shares, limits
 * of running work and places have no counterpart there and are not in force on the platform.
 */
public final class TableManifest {

    /** How often work may fail that can be run again. */
    public static final int ATTEMPTS = 3;

    /** The largest body of a submission, in bytes. */
    private static final int BODY_BYTES = 1 << 20;

    /** How long a caller's connection may be idle, in milliseconds. */
    private static final long IDLE_MILLIS = 30_000;

    /** The factor on the chain of work in the objective. */
    private static final double EXTENSION = 2;

    /** What the objective adds where the row has no target, in milliseconds. */
    private static final long DEFAULT_TARGET_MILLIS = 1_000;

    /** Prevents instantiation. */
    private TableManifest() {}

    /**
     * Makes a manifest.
     *
     * @param table the table
     * @param service the service whose workers run everything
     * @param version the version of the manifest
     * @return the manifest
     */
    public static Manifest of(OperatorTable table, String service, long version) {
        List<Route> routes = table.rows().stream().map(row -> route(row, service)).toList();
        return new Manifest(
                version, routes, Set.of(service), new IngressLimits(BODY_BYTES, IDLE_MILLIS));
    }

    /**
     * Makes the route of a row.
     *
     * @param row the row
     * @param service the service
     * @return the route
     */
    private static Route route(KindOfWork row, String service) {
        String kind = row.name().value();
        long target = row.latencyTargetMillis();
        return new Route(
                kind,
                row.tenant().value() + ".example",
                "/" + kind + "/",
                service,
                priority(row.workClass()),
                row.repeatPolicy() == RepeatPolicy.AT_MOST_ONCE ? 1 : ATTEMPTS,
                EXTENSION,
                target == 0 ? DEFAULT_TARGET_MILLIS : target,
                false);
    }

    /**
     * Returns the priority of a class of work.
     *
     * @param workClass the class
     * @return the priority, 0 the most urgent
     */
    private static int priority(WorkClass workClass) {
        return switch (workClass) {
            case URGENT -> 0;
            case INTERACTIVE -> 1;
            case BATCH -> 2;
        };
    }
}
