package org.damasktiller.decision.fairshare;

import java.util.HashMap;
import java.util.Map;
import org.damasktiller.identity.TenantName;
import org.damasktiller.resource.Resources;

/** Counts what the running jobs of each tenant reserve, and compares it with the quotas. */
final class TenantUsage {

    /** The quotas of tenants that have one. */
    private final Map<TenantName, Resources> quotas = new HashMap<>();

    /** What the running jobs of each tenant reserve. */
    private final Map<TenantName, Resources> used = new HashMap<>();

    /** Creates a record without tenants. */
    TenantUsage() {}

    /**
     * Sets the quota of a tenant.
     *
     * @param tenant the tenant
     * @param limit the most that its running jobs may reserve together
     */
    void putQuota(TenantName tenant, Resources limit) {
        quotas.put(tenant, limit);
    }

    /**
     * Tells whether one more job fits within the quota of its tenant.
     *
     * @param tenant the tenant
     * @param size the size of the job
     * @return whether it fits
     */
    boolean allows(TenantName tenant, Resources size) {
        Resources quota = quotas.get(tenant);
        if (quota == null) {
            return true;
        }
        return used.getOrDefault(tenant, Resources.NONE).plus(size).fitsWithin(quota);
    }

    /**
     * Changes the usage of a tenant.
     *
     * @param tenant the tenant
     * @param added what was added
     * @param removed what was removed
     */
    void change(TenantName tenant, Resources added, Resources removed) {
        Resources before = used.getOrDefault(tenant, Resources.NONE);
        used.put(tenant, before.plus(added).minus(removed));
    }

    /**
     * Moves usage to another tenant.
     *
     * @param from the tenant until now
     * @param to the tenant from now on
     * @param amount the usage
     */
    void move(TenantName from, TenantName to, Resources amount) {
        change(from, Resources.NONE, amount);
        change(to, amount, Resources.NONE);
    }
}
