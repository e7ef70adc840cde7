package org.damasktiller.identity;

/**
 * Names a kind of work; it is the key of a row of the operators' table.
 *
 * @param value the name as it is written in tables and settings, not blank
 */
public record KindName(String value) implements Comparable<KindName> {

    /** Rejects a blank name. */
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
