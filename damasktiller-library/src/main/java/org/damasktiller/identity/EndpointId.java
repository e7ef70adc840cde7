package org.damasktiller.identity;

/**
 * Identifies one endpoint that answers interactive requests.
 *
 * @param value the non-blank text of the name
 */
public record EndpointId(String value) implements Comparable<EndpointId> {

    /** Checks that the name is not blank. */
    public EndpointId {
        Names.requireNonBlank(value, "EndpointId");
    }

    @Override
    public int compareTo(EndpointId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
