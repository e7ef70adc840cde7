package org.damasktiller.identity;

/**
 * Identifies one worker of the platform.
 *
 * @param value the non-blank text of the name
 */
public record WorkerId(String value) implements Comparable<WorkerId> {

    /** Checks that the name is not blank. */
    public WorkerId {
        Names.requireNonBlank(value, "WorkerId");
    }

    @Override
    public int compareTo(WorkerId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
