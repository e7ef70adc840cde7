package org.damasktiller.node.caller;

import org.damasktiller.scheduler.model.Route;

/**
 * A request of a caller that a route takes.
 *
 * @param id the submission's identifier
 * @param route the route
 * @param manifestVersion the version of the manifest that gave the route
 * @param deadlineMillis by when the caller wants an answer, on the steady clock, in milliseconds
 */
record CallerRequest(String id, Route route, long manifestVersion, long deadlineMillis) {}
