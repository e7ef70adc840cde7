package org.damasktiller.identity;

/**
 * Names an availability zone, which belongs to one region.
 *
 * @param value the name as it is written in tables and settings, not blank
 */
public record ZoneName(String value) implements Comparable<ZoneName> {

    /** Rejects a blank name. */
    public ZoneName {
        Names.requireNonBlank(value, "ZoneName");
    }

    @Override
    public int compareTo(ZoneName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
