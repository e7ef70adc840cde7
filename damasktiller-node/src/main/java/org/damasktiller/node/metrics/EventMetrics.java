package org.damasktiller.node.metrics;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import java.util.Map;
import org.damasktiller.scheduler.port.DecisionLog;
import org.mpierce.metrics.reservoir.hdrhistogram.HdrHistogramReservoir;

/**
 * Counts the decisions that are logged, each kind whether or not its line is written, and keeps
 * histograms of the times that they tell, for each route. Used on one thread.
 */
public final class EventMetrics implements DecisionLog {

    /** The field of a duration, in milliseconds. */
    private static final String MILLIS = "millis";

    /** The field of the time that a task waited, in milliseconds. */
    private static final String WAITED = "waited";

    /** The field of the route. */
    private static final String ROUTE = "route";

    /** The quantile of half of the values. */
    private static final double MEDIAN = 0.5;

    /** The quantile of 99 of 100 values. */
    private static final double TAIL = 0.99;

    /** The log that the lines go to. */
    private final DecisionLog next;

    /** The counters and histograms. */
    private final MetricRegistry registry = new MetricRegistry();

    /**
     * Creates metrics without observations.
     *
     * @param next the log that the lines go to
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
     * Renders the metrics, one name and value a line.
     *
     * @return the text
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
     * Returns a histogram.
     *
     * @param name its name
     * @return the histogram
     */
    private Histogram histogram(String name) {
        return registry.histogram(name, () -> new Histogram(new HdrHistogramReservoir()));
    }

    /**
     * Adds a line.
     *
     * @param text the text
     * @param name the name of the metric
     * @param figure which figure of it
     * @param value the value
     */
    private static void line(StringBuilder text, String name, String figure, long value) {
        text.append(name).append('.').append(figure).append(' ').append(value).append('\n');
    }
}
