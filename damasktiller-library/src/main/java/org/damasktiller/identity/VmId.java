package org.damasktiller.identity;

/**
 * Identifies one incarnation-independent entry VM by its address and port.
 *
 * @param value the non-blank text of the name
 */
public record VmId(String value) implements Comparable<VmId> {

    /** Checks that the name is not blank. */
    public VmId {
        Names.requireNonBlank(value, "VmId");
    }

    @Override
    public int compareTo(VmId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
