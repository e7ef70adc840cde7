package org.damasktiller.daemon.metrics;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import java.util.concurrent.TimeUnit;
import org.damasktiller.identity.KindName;
import org.damasktiller.identity.TenantName;
import org.mpierce.metrics.reservoir.hdrhistogram.HdrHistogramReservoir;

/**
 * Keeps a histogram of latency and counters of outcomes for each tenant and kind of work. Safe for
 * use by several threads.
 */
public final class WorkMetrics {

    /** The start of the name of every latency histogram. */
    public static final String LATENCY = "latency";

    /** The start of the name of every counter of outcomes. */
    public static final String OUTCOMES = "outcomes";

    /** The registry. */
    private final MetricRegistry registry;

    /**
     * Creates metrics in a registry.
     *
     * @param registry the registry
     */
    public WorkMetrics(MetricRegistry registry) {
        this.registry = registry;
    }

    /**
     * Records how long an item of work took.
     *
     * @param tenant the tenant
     * @param kind the kind of work
     * @param millis the time, in milliseconds
     */
    public void recordLatency(TenantName tenant, KindName kind, long millis) {
        String name = MetricRegistry.name(LATENCY, tenant.value(), kind.value());
        registry.timer(name, () -> new Timer(new HdrHistogramReservoir()))
                .update(millis, TimeUnit.MILLISECONDS);
    }

    /**
     * Counts an outcome.
     *
     * @param tenant the tenant
     * @param kind the kind of work
     * @param outcome the outcome, such as finished or the name of an error code
     */
    public void countOutcome(TenantName tenant, KindName kind, String outcome) {
        Counter counter =
                registry.counter(
                        MetricRegistry.name(OUTCOMES, tenant.value(), kind.value(), outcome));
        counter.inc();
    }

    /**
     * Returns the registry.
     *
     * @return the registry
     */
    public MetricRegistry registry() {
        return registry;
    }
}
