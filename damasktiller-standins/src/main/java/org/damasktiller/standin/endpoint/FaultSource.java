package org.damasktiller.standin.endpoint;

/** Gives the fault of each request that arrives at a stand-in endpoint. */
@FunctionalInterface
public interface FaultSource {

    /**
     * Gives the fault of the next request.
     *
     * @return the fault
     */
    EndpointFault next();

    /**
     * Makes a source that gives no fault.
     *
     * @return the source
     */
    static FaultSource none() {
        return () -> EndpointFault.NONE;
    }
}
