package org.damasktiller.identity;

/**
 * Names a kind of work, one row of the operators' table.
 *
 * @param value the non-blank text of the name
 */
public record KindName(String value) implements Comparable<KindName> {

    /** Checks that the name is not blank. */
    public KindName {
        Names.requireNonBlank(value, "KindName");
    }

    @Override
    public int compareTo(KindName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
