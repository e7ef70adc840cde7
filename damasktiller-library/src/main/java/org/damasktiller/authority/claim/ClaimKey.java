package org.damasktiller.authority.claim;

import org.damasktiller.identity.KindName;
import org.damasktiller.identity.RequestKey;
import org.damasktiller.identity.TenantName;

/**
 * Names what is claimed: an idempotency key counts within its tenant and kind of work.
 *
 * @param tenant the tenant
 * @param kind the kind of work
 * @param key the idempotency key
 */
public record ClaimKey(TenantName tenant, KindName kind, RequestKey key) {

    /**
     * Returns the key as one text, in which the lengths keep the parts apart.
     *
     * @return the text
     */
    public String text() {
        return tenant.value().length() + ":" + kind.value().length() + ":" + tenant + kind + key;
    }
}
