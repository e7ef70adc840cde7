package org.damasktiller.identity;

/**
 * Names a region, which is a group of availability zones connected by fast links.
 *
 * @param value the name as it is written in tables and settings, not blank
 */
public record RegionName(String value) implements Comparable<RegionName> {

    /** Rejects a blank name. */
    public RegionName {
        Names.requireNonBlank(value, "RegionName");
    }

    @Override
    public int compareTo(RegionName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
