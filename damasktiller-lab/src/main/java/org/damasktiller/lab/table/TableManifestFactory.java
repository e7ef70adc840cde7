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
 * Converts the operators' table to a manifest of the platform, in which each row becomes a route. A
 * manifest has no weights, shares, limits of running work or places, so the platform does not
 * enforce these columns of the table.
 */
public final class TableManifestFactory {

    /** The maximum number of attempts of a task that may be run again. */
    public static final int MAXIMUM_ATTEMPTS = 3;

    /** The maximum size of the body of a submission, in bytes. */
    private static final int MAXIMUM_BODY_BYTES = 1 << 20;

    /** The idle timeout of callers' connections, in milliseconds. */
    private static final long IDLE_TIMEOUT_MILLIS = 30_000;

    /** The factor by which the latency objective stretches the critical path. */
    private static final double EXTENSION_FACTOR = 2;

    /** The time that the latency objective adds if the row has no target, in milliseconds. */
    private static final long DEFAULT_TARGET_LATENCY_MILLIS = 1_000;

    /** Prevents instantiation. */
    private TableManifestFactory() {}

    /**
     * Creates the manifest of a table.
     *
     * @param table the table
     * @param service the name of the service whose workers run the work of every route
     * @param version the version of the manifest
     * @return the manifest
     */
    public static Manifest create(OperatorTable table, String service, long version) {
        List<Route> routes = table.rows().stream().map(row -> toRoute(row, service)).toList();
        return new Manifest(
                version,
                routes,
                Set.of(service),
                new IngressLimits(MAXIMUM_BODY_BYTES, IDLE_TIMEOUT_MILLIS));
    }

    /**
     * Creates the route of a row.
     *
     * @param row the row
     * @param service the name of the service
     * @return the route
     */
    private static Route toRoute(KindOfWork row, String service) {
        String kind = row.name().value();
        long targetMillis = row.latencyTargetMillis();
        return new Route(
                kind,
                row.tenant().value() + ".example",
                "/" + kind + "/",
                service,
                priorityOf(row.workClass()),
                row.repeatPolicy() == RepeatPolicy.AT_MOST_ONCE ? 1 : MAXIMUM_ATTEMPTS,
                EXTENSION_FACTOR,
                targetMillis == 0 ? DEFAULT_TARGET_LATENCY_MILLIS : targetMillis,
                false);
    }

    /**
     * Returns the priority of a class of work.
     *
     * @param workClass the class
     * @return the priority; 0 is the most urgent
     */
    private static int priorityOf(WorkClass workClass) {
        return switch (workClass) {
            case URGENT -> 0;
            case INTERACTIVE -> 1;
            case BATCH -> 2;
        };
    }
}
