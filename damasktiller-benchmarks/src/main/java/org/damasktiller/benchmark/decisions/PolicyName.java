package org.damasktiller.benchmark.decisions;

import java.util.Locale;
import org.damasktiller.decision.dispatch.DispatchSettings;

/** Lists the policy measured and the baselines. */
enum PolicyName {
    /** The library's dispatcher. */
    DAMASKTILLER,
    /** The services without any batch or urgent job. */
    SERVICES_ALONE,
    /** The library's dispatcher without the protection of services. */
    IGNORING_SERVICES,
    /** First in, first out, with declared sizes. */
    FIRST_IN_FIRST_OUT,
    /** Services and batch on separate workers. */
    STATIC_PARTITION,
    /** The least loaded worker, without estimates. */
    LEAST_LOADED,
    /** Eviction at a threshold without hysteresis. */
    THRESHOLD_EVICTION;

    /**
     * Returns the name in figures.
     *
     * @return the name in lower case
     */
    String figureName() {
        return name().toLowerCase(Locale.ROOT);
    }

    /**
     * Creates the policy.
     *
     * @param seed the seed of its random choices
     * @return the policy
     */
    Policy create(long seed) {
        return switch (this) {
            case DAMASKTILLER -> new DispatcherPolicy(DispatchSettings.ORDINARY, seed);
            case SERVICES_ALONE, IGNORING_SERVICES ->
                    new DispatcherPolicy(DispatchSettings.ORDINARY.withoutProtection(), seed);
            case THRESHOLD_EVICTION -> new ThresholdPolicy(seed);
            case FIRST_IN_FIRST_OUT ->
                    new DeclaredSizePolicy(DeclaredSizePolicy.Variant.FIRST_IN_FIRST_OUT);
            case STATIC_PARTITION ->
                    new DeclaredSizePolicy(DeclaredSizePolicy.Variant.STATIC_PARTITION);
            case LEAST_LOADED -> new DeclaredSizePolicy(DeclaredSizePolicy.Variant.LEAST_LOADED);
        };
    }
}
