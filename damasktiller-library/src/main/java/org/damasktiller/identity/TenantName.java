package org.damasktiller.identity;

/**
 * Names a tenant, a team on whose behalf callers send work.
 *
 * @param value the non-blank text of the name
 */
public record TenantName(String value) implements Comparable<TenantName> {

    /** Checks that the name is not blank. */
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
