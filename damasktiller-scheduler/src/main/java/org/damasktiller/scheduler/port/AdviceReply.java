package org.damasktiller.scheduler.port;

import java.util.Map;

/**
 * The reply to a request to the advice service.
 *
 * @param answered whether the service answered; if not, the request has to be repeated
 * @param tickets the tickets by the identifier of the worker; workers that may not run the step are
 *     absent
 * @param validMillis how long the tickets are valid, in milliseconds
 * @param reason why there is no answer, for the log; empty if the service answered
 */
public record AdviceReply(
        boolean answered, Map<String, String> tickets, long validMillis, String reason) {

    /** Makes an immutable copy of the tickets. */
    public AdviceReply {
        tickets = Map.copyOf(tickets);
    }
}
