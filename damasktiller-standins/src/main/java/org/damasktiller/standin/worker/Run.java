package org.damasktiller.standin.worker;

import org.damasktiller.identity.WorkerId;
import org.damasktiller.worker.AttemptId;

/**
 * Records one run of an attempt on one worker.
 *
 * @param attempt the attempt
 * @param payload the input of the task
 * @param worker the worker
 * @param startMillis when the run started, in milliseconds
 * @param endMillis when it ended, in milliseconds, or {@code Long.MAX_VALUE} while it runs
 * @param startProgressMillis the run time that the checkpoint already held, in milliseconds
 * @param endProgressMillis the run time done at the end, in milliseconds
 * @param end how the run ended
 * @param forgotten whether the worker lost its report of the end before it was acknowledged
 */
public record Run(
        AttemptId attempt,
        String payload,
        WorkerId worker,
        long startMillis,
        long endMillis,
        long startProgressMillis,
        long endProgressMillis,
        RunEnd end,
        boolean forgotten) {

    /**
     * Returns this run with its end.
     *
     * @param millis when it ended, in milliseconds
     * @param progressMillis the run time done, in milliseconds
     * @param reason how it ended
     * @return the ended run
     */
    Run ended(long millis, long progressMillis, RunEnd reason) {
        return new Run(
                attempt,
                payload,
                worker,
                startMillis,
                millis,
                startProgressMillis,
                progressMillis,
                reason,
                false);
    }

    /**
     * Returns this run with its report lost.
     *
     * @return the run
     */
    Run withoutReport() {
        return new Run(
                attempt,
                payload,
                worker,
                startMillis,
                endMillis,
                startProgressMillis,
                endProgressMillis,
                end,
                true);
    }
}
