package org.damasktiller.benchmark.interactive;

import java.util.EnumMap;
import java.util.Map;
import java.util.SplittableRandom;
import org.damasktiller.standin.endpoint.EndpointFault;
import org.damasktiller.standin.endpoint.FaultSource;

/** Draws a fault for a part of the requests. Used on one endpoint's thread. */
final class RandomFaults implements FaultSource {

    /** The bound of a draw. */
    private static final int DRAW_BOUND = 10_000;

    /** How many of ten thousand requests have each fault. */
    private static final Map<EndpointFault, Integer> PER_TEN_THOUSAND =
            new EnumMap<>(
                    Map.of(
                            EndpointFault.LATE, 30,
                            EndpointFault.TRUNCATED, 60,
                            EndpointFault.CLOSED, 60,
                            EndpointFault.SILENT, 5,
                            EndpointFault.ERROR, 60));

    /** The source of the draws. */
    private final SplittableRandom random;

    /**
     * Creates a source.
     *
     * @param seed the seed
     */
    RandomFaults(long seed) {
        this.random = new SplittableRandom(seed);
    }

    @Override
    public EndpointFault next() {
        int draw = random.nextInt(DRAW_BOUND);
        for (Map.Entry<EndpointFault, Integer> entry : PER_TEN_THOUSAND.entrySet()) {
            draw -= entry.getValue();
            if (draw < 0) {
                return entry.getKey();
            }
        }
        return EndpointFault.NONE;
    }
}
