package org.damasktiller.identity;

/**
 * Identifies one accepted job for its whole life, across attempts and owners.
 *
 * @param value the non-blank text of the name
 */
public record JobId(String value) implements Comparable<JobId> {

    /** Checks that the name is not blank. */
    public JobId {
        Names.requireNonBlank(value, "JobId");
    }

    @Override
    public int compareTo(JobId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
