package org.damasktiller.scheduler.model;

import com.fasterxml.jackson.annotation.JsonInclude;

/**
 * A submission with the routing decision made when it was accepted. Stored as JSON under the names
 * of the components.
 *
 * @param submission the caller's request
 * @param route the name of the route that matched the request
 * @param service the service whose workers run the tasks, as configured by the route when the
 *     submission was accepted
 * @param acceptedUnixMillis when the submission was accepted, in milliseconds since 1970
 */
@JsonInclude(JsonInclude.Include.NON_DEFAULT)
public record AcceptedSubmission(
        Submission submission, String route, String service, long acceptedUnixMillis) {}
