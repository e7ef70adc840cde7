package org.damasktiller.routing;

/** Tells which part of an endpoint's slots and connections this entry VM may use. */
public interface EndpointAllowance {

    /**
     * Returns the slots that this entry VM may use.
     *
     * @param endpoint the endpoint
     * @param nowMillis the time, in milliseconds
     * @return the number of slots
     */
    int slots(EndpointDescription endpoint, long nowMillis);

    /**
     * Returns the connections that this entry VM may hold open.
     *
     * @param endpoint the endpoint
     * @param nowMillis the time, in milliseconds
     * @return the number of connections
     */
    int connections(EndpointDescription endpoint, long nowMillis);
}
