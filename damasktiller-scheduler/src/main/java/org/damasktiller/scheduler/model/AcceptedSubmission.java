package org.damasktiller.scheduler.model;

import com.fasterxml.jackson.annotation.JsonInclude;

/**
 * A submission as it is stored when it is accepted.
 *
 * @param submission what the caller asked for
 * @param route the name of the route that took it
 * @param service the service whose workers run it, as the route said at that time
 * @param acceptedUnixMillis when the submission was accepted, in milliseconds since 1970
 */
@JsonInclude(JsonInclude.Include.NON_DEFAULT)
public record AcceptedSubmission(
        Submission submission, String route, String service, long acceptedUnixMillis) {}
