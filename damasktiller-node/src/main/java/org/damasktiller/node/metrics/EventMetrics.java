package org.damasktiller.node.metrics;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import java.util.Map;
import org.damasktiller.scheduler.port.DecisionLog;
import org.mpierce.metrics.reservoir.hdrhistogram.HdrHistogramReservoir;

/**
 * Derives metrics from log events before it passes them on: a counter for each event name, and a
 * histogram for each route and each field that holds a duration. Events whose lines the log drops
 * are counted, too. Used on one thread only.
 */
public final class EventMetrics implements DecisionLog {

    /** The name of the field that holds the duration of an operation, in milliseconds. */
    private static final String MILLIS = "millis";

    /** The name of the field that holds how long a task waited for its start, in milliseconds. */
    private static final String WAITED = "waited";

    /** The name of the field that holds the name of the route. */
    private static final String ROUTE = "route";

    /** The quantile of the figure p50. */
    private static final double MEDIAN = 0.5;

    /** The quantile of the figure p99. */
    private static final double TAIL = 0.99;

    /** The log to which events are passed on. */
    private final DecisionLog next;

    /** The counters and histograms by name. */
    private final MetricRegistry registry = new MetricRegistry();

    /**
     * Creates an empty set of metrics.
     *
     * @param next the log to which events are passed on
     */
    public EventMetrics(DecisionLog next) {
        this.next = next;
    }

    @Override
    public void log(String event, Object... fields) {
        registry.counter(event).inc();
        String route = "";
        for (int index = 0; index + 1 < fields.length; index += 2) {
            if (ROUTE.equals(fields[index])) {
                route = "." + fields[index + 1];
            }
        }
        for (int index = 0; index + 1 < fields.length; index += 2) {
            boolean timed = MILLIS.equals(fields[index]) || WAITED.equals(fields[index]);
            if (timed && fields[index + 1] instanceof Long time) {
                histogram(event + '.' + fields[index] + route).update(Math.max(0, time));
            }
        }
        next.log(event, fields);
    }

    /**
     * Renders all metrics as text.
     *
     * @return one line for each figure of each metric: its name, a space and its value
     */
    public String render() {
        StringBuilder text = new StringBuilder();
        for (Map.Entry<String, Counter> entry : registry.getCounters().entrySet()) {
            line(text, entry.getKey(), "count", entry.getValue().getCount());
        }
        for (Map.Entry<String, Histogram> entry : registry.getHistograms().entrySet()) {
            Snapshot snapshot = entry.getValue().getSnapshot();
            line(text, entry.getKey(), "count", entry.getValue().getCount());
            line(text, entry.getKey(), "p50", (long) snapshot.getValue(MEDIAN));
            line(text, entry.getKey(), "p99", (long) snapshot.getValue(TAIL));
            line(text, entry.getKey(), "max", snapshot.getMax());
        }
        return text.toString();
    }

    /**
     * Returns the histogram of a name, which is created at its first use.
     *
     * @param name the name of the metric
     * @return the histogram
     */
    private Histogram histogram(String name) {
        return registry.histogram(name, () -> new Histogram(new HdrHistogramReservoir()));
    }

    /**
     * Appends a line for one figure of a metric.
     *
     * @param text the text to append to
     * @param name the name of the metric
     * @param figure the name of the figure, such as count or p99
     * @param value the value of the figure
     */
    private static void line(StringBuilder text, String name, String figure, long value) {
        text.append(name).append('.').append(figure).append(' ').append(value).append('\n');
    }
}
