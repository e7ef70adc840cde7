package org.damasktiller.identity;

/**
 * Names a tenant, which is a team on whose behalf callers submit work.
 *
 * @param value the name as it is written in tables and settings, not blank
 */
public record TenantName(String value) implements Comparable<TenantName> {

    /** Rejects a blank name. */
    public TenantName {
        Names.requireNonBlank(value, "TenantName");
    }

    @Override
    public int compareTo(TenantName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
