package org.damasktiller.identity;

/**
 * Names a region, a group of availability zones joined by fast links.
 *
 * @param value the non-blank text of the name
 */
public record RegionName(String value) implements Comparable<RegionName> {

    /** Checks that the name is not blank. */
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
