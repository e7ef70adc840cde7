package org.damasktiller.scheduler.port;

import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Client of the advice service, which decides which workers may run the steps of some queues and
 * issues a ticket for each of them.
 */
@FunctionalInterface
public interface AdviceClient {

    /** The client of a deployment without an advice service: it never gets an answer. */
    AdviceClient NONE =
            (step, workers, callback) ->
                    callback.accept(
                            new AdviceReply(false, Map.of(), 0, "there is no advice service"));

    /**
     * Requests tickets for the workers that may run a step.
     *
     * @param step the name of the step
     * @param workers the identifiers of the candidate workers, at most 100
     * @param callback receives the reply
     */
    void requestTickets(String step, List<String> workers, Consumer<AdviceReply> callback);
}
