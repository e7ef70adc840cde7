package org.damasktiller.node.caller;

import org.damasktiller.scheduler.model.Route;

/**
 * A caller's request about one submission, after its path and host have matched a route.
 *
 * @param id the submission's identifier, 16 hexadecimal digits
 * @param route the route that matched
 * @param manifestVersion the version of the manifest that contains the route
 * @param deadlineMillis when the caller stops waiting for the response, on the monotonic clock, in
 *     milliseconds
 */
record CallerRequest(String id, Route route, long manifestVersion, long deadlineMillis) {

    /** How long before the caller's deadline the response is sent, in milliseconds. */
    static final long DEADLINE_MARGIN_MILLIS = 150;

    /**
     * Returns when the response has to be sent at the latest.
     *
     * @return the time on the monotonic clock, in milliseconds
     */
    long latestResponseMillis() {
        return deadlineMillis - DEADLINE_MARGIN_MILLIS;
    }
}
