package org.damasktiller.scheduler.port;

/** Takes one line for each decision that touches a request or changes what the process believes. */
@FunctionalInterface
public interface DecisionLog {

    /**
     * Writes a line.
     *
     * @param event the kind of the event, a fixed text
     * @param fields names and values by turns: the identifiers, the inputs and the outcome
     */
    void log(String event, Object... fields);
}
