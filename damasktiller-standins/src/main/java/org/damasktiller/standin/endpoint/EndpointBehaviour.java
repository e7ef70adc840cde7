package org.damasktiller.standin.endpoint;

/**
 * Holds how a stand-in endpoint behaves. Immutable; the endpoint's behaviour is replaced as a
 * whole, also from other threads.
 *
 * @param slots how many requests run at once; further ones are refused as not run
 * @param serviceMillis how long a request runs, in milliseconds
 * @param slowFactor by what the run time is multiplied
 * @param lateMillis the further delay of a late answer, in milliseconds
 * @param faults gives the fault of each request
 * @param draining whether requests are refused because the endpoint is leaving
 */
public record EndpointBehaviour(
        int slots,
        long serviceMillis,
        int slowFactor,
        long lateMillis,
        FaultSource faults,
        boolean draining) {

    /** The number of slots that endpoints have. */
    private static final int USUAL_SLOTS = 8;

    /**
     * Creates a behaviour without faults.
     *
     * @param serviceMillis how long a request runs, in milliseconds
     * @return the behaviour
     */
    public static EndpointBehaviour healthy(long serviceMillis) {
        return new EndpointBehaviour(USUAL_SLOTS, serviceMillis, 1, 0, FaultSource.none(), false);
    }

    /**
     * Replaces the factor of the run time.
     *
     * @param factor by what the run time is multiplied
     * @return the changed behaviour
     */
    public EndpointBehaviour slowed(int factor) {
        return new EndpointBehaviour(slots, serviceMillis, factor, lateMillis, faults, draining);
    }

    /**
     * Replaces the faults.
     *
     * @param source gives the fault of each request
     * @param delayMillis the further delay of a late answer, in milliseconds
     * @return the changed behaviour
     */
    public EndpointBehaviour failing(FaultSource source, long delayMillis) {
        return new EndpointBehaviour(
                slots, serviceMillis, slowFactor, delayMillis, source, draining);
    }

    /**
     * Makes the endpoint refuse requests because it is leaving.
     *
     * @return the changed behaviour
     */
    public EndpointBehaviour leaving() {
        return new EndpointBehaviour(slots, serviceMillis, slowFactor, lateMillis, faults, true);
    }
}
