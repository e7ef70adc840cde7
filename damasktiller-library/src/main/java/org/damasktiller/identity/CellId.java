package org.damasktiller.identity;

/**
 * Identifies a cell, a set of racks of one availability zone with a single owner.
 *
 * @param value the non-blank text of the name
 */
public record CellId(String value) implements Comparable<CellId> {

    /** Checks that the name is not blank. */
    public CellId {
        Names.requireNonBlank(value, "CellId");
    }

    @Override
    public int compareTo(CellId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
