package org.damasktiller.identity;

/**
 * Holds the idempotency key that a caller chose for a request or a job.
 *
 * @param value the non-blank text of the name
 */
public record RequestKey(String value) implements Comparable<RequestKey> {

    /** Checks that the name is not blank. */
    public RequestKey {
        Names.requireNonBlank(value, "RequestKey");
    }

    @Override
    public int compareTo(RequestKey other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
