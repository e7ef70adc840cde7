package org.damasktiller.routing;

/**
 * Splits each endpoint into equal parts for a fixed number of entry VMs, with nothing for the VMs
 * beyond that number. It needs no messages and so holds while a zone is cut off.
 */
public final class EqualAllowance implements EndpointAllowance {

    /** The number of parts. */
    private final int parts;

    /** Which part is ours, from zero. */
    private final int index;

    /**
     * Creates an allowance.
     *
     * @param parts the largest number of entry VMs that use an endpoint at once, above zero
     * @param index the place of this VM among them, from zero
     */
    public EqualAllowance(int parts, int index) {
        if (parts < 1 || index < 0) {
            throw new IllegalArgumentException("allowance needs a part and an index");
        }
        this.parts = parts;
        this.index = index;
    }

    @Override
    public int slots(EndpointDescription endpoint, long nowMillis) {
        return part(endpoint.slots());
    }

    @Override
    public int connections(EndpointDescription endpoint, long nowMillis) {
        return part(endpoint.connections());
    }

    /**
     * Returns our part of a total; the first parts get what does not divide.
     *
     * @param total the total
     * @return our part
     */
    private int part(int total) {
        if (index >= parts) {
            return 0;
        }
        return total / parts + (index < total % parts ? 1 : 0);
    }
}
