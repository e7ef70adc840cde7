package org.damasktiller.daemon.gateway;

import org.damasktiller.identity.KindName;
import org.damasktiller.identity.RequestKey;
import org.damasktiller.identity.TenantName;

/**
 * Names what is claimed: a key counts within its tenant and kind.
 *
 * @param tenant the tenant
 * @param kind the kind of work
 * @param key the idempotency key
 * @param deadlineMillis when the caller stops to wait, in milliseconds of the reactor's clock
 */
public record ClaimRequest(TenantName tenant, KindName kind, RequestKey key, long deadlineMillis) {}
