package org.damasktiller.routing;

import org.damasktiller.identity.RequestKey;
import org.damasktiller.identity.TenantName;
import org.damasktiller.table.KindOfWork;
import org.jspecify.annotations.Nullable;

/**
 * Describes one request of a caller to the router.
 *
 * @param number identifies the request within the router
 * @param kind the row of the table
 * @param tenant the caller
 * @param key the idempotency key, required for at-most-once kinds
 * @param deadlineMillis when the caller stops to wait, in milliseconds of the router's clock
 * @param replayable whether the body can be sent a second time
 */
public record RoutingRequest(
        long number,
        KindOfWork kind,
        TenantName tenant,
        @Nullable RequestKey key,
        long deadlineMillis,
        boolean replayable) {}
