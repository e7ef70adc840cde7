package org.damasktiller.routing;

import org.damasktiller.error.DamasktillerException;
import org.damasktiller.identity.EndpointId;
import org.damasktiller.identity.RequestKey;

/** Lists what the driver of a {@link RequestRouter} has to do. */
public sealed interface RoutingAction {

    /**
     * Asks for the claim of an at-most-once request.
     *
     * @param number the request
     * @param key the key to claim
     */
    record Claim(long number, RequestKey key) implements RoutingAction {}

    /**
     * Asks to send a request to an endpoint.
     *
     * @param number the request
     * @param attempt identifies the attempt within the router
     * @param endpoint the endpoint
     * @param deadlineMillis when the attempt is given up, in milliseconds of the router's clock
     */
    record Send(long number, long attempt, EndpointDescription endpoint, long deadlineMillis)
            implements RoutingAction {}

    /**
     * Asks to close the connection of an attempt, whose answer is delivered to nobody.
     *
     * @param number the request
     * @param attempt the attempt
     */
    record Abort(long number, long attempt) implements RoutingAction {}

    /**
     * Asks to hand the answer of an attempt to the caller; the request is finished.
     *
     * @param number the request
     * @param attempt the attempt whose answer counts
     */
    record Deliver(long number, long attempt) implements RoutingAction {}

    /**
     * Asks to hand an error to the caller; the request is finished.
     *
     * @param number the request
     * @param error the error
     * @param retryAfterMillis after what delay a new request is sensible, in milliseconds, zero if
     *     never
     */
    record Refuse(long number, DamasktillerException error, long retryAfterMillis)
            implements RoutingAction {}

    /**
     * Tells that an endpoint was seen to be leaving, to be spread to the other entry VMs.
     *
     * @param endpoint the endpoint
     */
    record ReportLeaving(EndpointId endpoint) implements RoutingAction {}
}
