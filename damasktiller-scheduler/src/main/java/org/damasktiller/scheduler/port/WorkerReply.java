package org.damasktiller.scheduler.port;

import org.damasktiller.scheduler.model.Inventory;
import org.jspecify.annotations.Nullable;

/**
 * The answer of a worker.
 *
 * @param status how the call ended
 * @param clockMillis the worker's clock at the time of the answer, in milliseconds, negative if not
 *     told
 * @param bornUnixMillis when the answering boot began, in milliseconds since 1970, zero if not told
 * @param inventory what the worker runs, null unless it was asked
 * @param reason what the client saw, for the log
 */
public record WorkerReply(
        WorkerStatus status,
        long clockMillis,
        long bornUnixMillis,
        @Nullable Inventory inventory,
        String reason) {}
