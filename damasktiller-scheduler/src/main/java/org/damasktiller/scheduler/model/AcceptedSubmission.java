package org.damasktiller.scheduler.model;

import com.fasterxml.jackson.annotation.JsonInclude;
import org.jspecify.annotations.Nullable;

/**
 * A submission with the routing decision made when it was accepted. Stored as JSON under the names
 * of the components.
 *
 * @param submission the caller's request
 * @param route the name of the route that matched the request
 * @param service the service whose workers run the tasks, as configured by the route when the
 *     submission was accepted
 * @param acceptedUnixMillis when the submission was accepted, in milliseconds since 1970
 * @param part which tasks have their home in the cell, or null if all have
 * @param terms what the route granted when the submission was accepted, or null if an earlier
 *     release has stored the submission
 */
@JsonInclude(JsonInclude.Include.NON_DEFAULT)
public record AcceptedSubmission(
        Submission submission,
        String route,
        String service,
        long acceptedUnixMillis,
        @Nullable SubmissionPart part,
        @Nullable QueueTerms terms) {

    /**
     * Creates a submission of which no task has moved to another cell.
     *
     * @param submission the caller's request
     * @param route the name of the route that matched the request
     * @param service the service whose workers run the tasks
     * @param acceptedUnixMillis when the submission was accepted, in milliseconds since 1970
     * @param terms what the route grants now
     */
    public AcceptedSubmission(
            Submission submission,
            String route,
            String service,
            long acceptedUnixMillis,
            QueueTerms terms) {
        this(submission, route, service, acceptedUnixMillis, null, terms);
    }

    /**
     * Returns the submission as it is stored in a cell that has a part of it.
     *
     * @param newPart the tasks that have their home there
     * @return the submission with that part
     */
    public AcceptedSubmission withPart(SubmissionPart newPart) {
        return new AcceptedSubmission(
                submission, route, service, acceptedUnixMillis, newPart, terms);
    }
}
