package org.damasktiller.node.metrics;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.damasktiller.scheduler.port.DecisionLog;
import org.mpierce.metrics.reservoir.hdrhistogram.HdrHistogramReservoir;

/**
 * Derives metrics from log events before it passes them on: a counter for each event name, and a
 * histogram for each event name, duration field and route. Operators may add and remove any number
 * of routes, so that only those that were used last have histograms. Events whose lines the log
 * drops are counted, too. Used on one thread only.
 */
public final class EventMetrics implements DecisionLog {

    /** The name of the field that holds the duration of an operation, in milliseconds. */
    private static final String DURATION_FIELD = "millis";

    /** The name of the field that holds how long a task waited for its start, in milliseconds. */
    private static final String WAIT_FIELD = "waited";

    /** The name of the field that holds the name of the route. */
    private static final String ROUTE_FIELD = "route";

    /** The most routes that have histograms. */
    private static final int MAX_ROUTES = 128;

    /** The quantile of the statistic p50. */
    private static final double MEDIAN = 0.5;

    /** The load factor of the map of routes. */
    private static final float LOAD_FACTOR = 0.75f;

    /** The quantile of the statistic p99. */
    private static final double P99 = 0.99;

    /** The log to which events are passed on. */
    private final DecisionLog delegate;

    /** The counters and histograms by name. */
    private final MetricRegistry registry = new MetricRegistry();

    /** The names of the histograms by route, the route that was used least recently first. */
    private final Map<String, Set<String>> namesByRoute =
            new LinkedHashMap<>(MAX_ROUTES, LOAD_FACTOR, true);

    /**
     * Creates an empty set of metrics.
     *
     * @param delegate the log to which events are passed on
     */
    public EventMetrics(DecisionLog delegate) {
        this.delegate = delegate;
    }

    @Override
    public void log(String event, Object... fields) {
        registry.counter(event).inc();
        String route = "";
        for (int index = 0; index + 1 < fields.length; index += 2) {
            if (ROUTE_FIELD.equals(fields[index])) {
                route = String.valueOf(fields[index + 1]);
            }
        }
        for (int index = 0; index + 1 < fields.length; index += 2) {
            boolean isDuration =
                    DURATION_FIELD.equals(fields[index]) || WAIT_FIELD.equals(fields[index]);
            if (isDuration && fields[index + 1] instanceof Long millis) {
                histogram(event + '.' + fields[index], route).update(Math.max(0, millis));
            }
        }
        delegate.log(event, fields);
    }

    /**
     * Renders all metrics as text.
     *
     * @return one line for each statistic of each metric: its name, a space and its value
     */
    public String render() {
        StringBuilder text = new StringBuilder();
        for (Map.Entry<String, Counter> entry : registry.getCounters().entrySet()) {
            appendLine(text, entry.getKey(), "count", entry.getValue().getCount());
        }
        for (Map.Entry<String, Histogram> entry : registry.getHistograms().entrySet()) {
            Snapshot snapshot = entry.getValue().getSnapshot();
            appendLine(text, entry.getKey(), "count", entry.getValue().getCount());
            appendLine(text, entry.getKey(), "p50", (long) snapshot.getValue(MEDIAN));
            appendLine(text, entry.getKey(), "p99", (long) snapshot.getValue(P99));
            appendLine(text, entry.getKey(), "max", snapshot.getMax());
        }
        return text.toString();
    }

    /**
     * Returns the histogram of a duration, which is created at its first use. If that is one of too
     * many routes, the histograms of the route that was used least recently are removed.
     *
     * @param duration the name of the event and the field
     * @param route the name of the route, or an empty string
     * @return the histogram
     */
    private Histogram histogram(String duration, String route) {
        String name = route.isEmpty() ? duration : duration + '.' + route;
        if (!route.isEmpty()) {
            namesByRoute.computeIfAbsent(route, key -> new HashSet<>()).add(name);
            if (namesByRoute.size() > MAX_ROUTES) {
                Iterator<Set<String>> eldest = namesByRoute.values().iterator();
                eldest.next().forEach(registry::remove);
                eldest.remove();
            }
        }
        return registry.histogram(name, () -> new Histogram(new HdrHistogramReservoir()));
    }

    /**
     * Appends a line for one statistic of a metric.
     *
     * @param text the text to append to
     * @param name the name of the metric
     * @param statistic the name of the statistic, such as count or p99
     * @param value the value of the statistic
     */
    private static void appendLine(StringBuilder text, String name, String statistic, long value) {
        text.append(name).append('.').append(statistic).append(' ').append(value).append('\n');
    }
}
