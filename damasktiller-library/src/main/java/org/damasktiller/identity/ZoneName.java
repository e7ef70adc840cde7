package org.damasktiller.identity;

/**
 * Names an availability zone.
 *
 * @param value the non-blank text of the name
 */
public record ZoneName(String value) implements Comparable<ZoneName> {

    /** Checks that the name is not blank. */
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
