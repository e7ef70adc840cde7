package org.damasktiller.scheduler.port;

import org.damasktiller.scheduler.model.Inventory;
import org.jspecify.annotations.Nullable;

/**
 * The reply of a worker to a call.
 *
 * @param status whether the call was executed, and if not, why
 * @param clockMillis the worker's clock when it replied, in milliseconds, negative if not reported
 * @param bootUnixMillis when the replying worker booted, in milliseconds since 1970, or 0 if not
 *     reported
 * @param inventory the worker's runs, or null if the call does not ask for them
 * @param reason a description of the outcome, for the log
 */
public record WorkerReply(
        WorkerStatus status,
        long clockMillis,
        long bootUnixMillis,
        @Nullable Inventory inventory,
        String reason) {}
