package org.damasktiller.scheduler.port;

import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** Calls to the service that knows which workers may run the steps of some queues. */
@FunctionalInterface
public interface AdviceCalls {

    /** Stands for a deployment without the service. */
    AdviceCalls NONE =
            (step, workers, answer) ->
                    answer.accept(
                            new AdviceReply(false, Map.of(), 0, "there is no advice service"));

    /**
     * Asks which workers may run a step.
     *
     * @param step the name of the step
     * @param workers the workers, at most 100
     * @param answer takes the answer
     */
    void ask(String step, List<String> workers, Consumer<AdviceReply> answer);
}
