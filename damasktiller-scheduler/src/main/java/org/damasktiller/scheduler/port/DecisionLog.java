package org.damasktiller.scheduler.port;

/**
 * The structured log of the scheduler. It gets one line for each decision that affects a request,
 * and for each change in what the process knows of the store, the workers and the cells.
 */
@FunctionalInterface
public interface DecisionLog {

    /**
     * Writes a line.
     *
     * @param event the name of the event, a constant; metrics are derived from it
     * @param fields alternating names and values of the fields: identifiers, inputs and outcome
     */
    void log(String event, Object... fields);
}
