package org.damasktiller.daemon.gateway;

import org.damasktiller.routing.AttemptOutcome;
import org.jspecify.annotations.Nullable;

/**
 * Holds how an attempt ended.
 *
 * @param outcome how it ended
 * @param answer the whole answer, or null if there is none
 */
record AttemptResult(AttemptOutcome outcome, @Nullable Answer answer) {

    /**
     * Creates a result without an answer.
     *
     * @param outcome how the attempt ended
     * @return the result
     */
    static AttemptResult without(AttemptOutcome outcome) {
        return new AttemptResult(outcome, null);
    }
}
