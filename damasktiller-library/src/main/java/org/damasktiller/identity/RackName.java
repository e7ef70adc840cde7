package org.damasktiller.identity;

/**
 * Names a rack of workers.
 *
 * @param value the non-blank text of the name
 */
public record RackName(String value) implements Comparable<RackName> {

    /** Checks that the name is not blank. */
    public RackName {
        Names.requireNonBlank(value, "RackName");
    }

    @Override
    public int compareTo(RackName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
