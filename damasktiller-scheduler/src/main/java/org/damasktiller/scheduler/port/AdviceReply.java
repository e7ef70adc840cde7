package org.damasktiller.scheduler.port;

import java.util.Map;

/**
 * The answer of the advice service.
 *
 * @param answered whether it answered; if not, the question has to be asked again
 * @param tickets the tickets of the workers that may run the step, by worker
 * @param validMillis how long the tickets are valid, in milliseconds
 * @param reason what the client saw instead of an answer, for the log
 */
public record AdviceReply(
        boolean answered, Map<String, String> tickets, long validMillis, String reason) {

    /** Copies the tickets. */
    public AdviceReply {
        tickets = Map.copyOf(tickets);
    }
}
