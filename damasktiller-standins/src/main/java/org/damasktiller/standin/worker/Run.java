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
 */
public record Run(
        AttemptId attempt,
        String payload,
        WorkerId worker,
        long startMillis,
        long endMillis,
        long startProgressMillis,
        long endProgressMillis,
        RunEnd end) {

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
                reason);
    }
}
