package org.damasktiller.daemon.gateway;

import io.activej.promise.Promise;
import org.damasktiller.routing.AttemptOutcome;
import org.jspecify.annotations.Nullable;

/**
 * Holds how an attempt ended.
 *
 * @param outcome how it ended
 * @param answer the answer, or null if there is none
 * @param streamed completed with whether the body ended well, or null for a whole answer
 */
record AttemptResult(
        AttemptOutcome outcome, @Nullable Answer answer, @Nullable Promise<Boolean> streamed) {

    /**
     * Creates a result without an answer.
     *
     * @param outcome how the attempt ended
     * @return the result
     */
    static AttemptResult without(AttemptOutcome outcome) {
        return new AttemptResult(outcome, null, null);
    }
}
