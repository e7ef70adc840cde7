package org.damasktiller.routing.share;

import org.damasktiller.routing.EndpointDescription;

/**
 * Holds the settings of shares, the same on all entry VMs that use an endpoint.
 *
 * @param memberLimit how many entry VMs may use an endpoint at once
 * @param leaseMillis how long a granted share lasts, in milliseconds
 * @param graceMillis how long after a lapse the last request sent under it may run, with the margin
 *     for clocks that drift, in milliseconds
 */
public record ShareSettings(int memberLimit, long leaseMillis, long graceMillis) {

    /** The settings for a zone with up to four entry VMs. */
    public static final ShareSettings DEFAULT = new ShareSettings(4, 3000, 11_000);

    /** Checks that there is a member and a lease. */
    public ShareSettings {
        if (memberLimit < 1 || leaseMillis < 1 || graceMillis < 0) {
            throw new IllegalArgumentException("shares need a member and a lease");
        }
    }

    /**
     * Returns the slots of an endpoint that each connection of it can back.
     *
     * @param endpoint the endpoint
     * @return the number of slots
     */
    int usableSlots(EndpointDescription endpoint) {
        return Math.min(endpoint.slots(), endpoint.connections());
    }

    /**
     * Returns the slots that each of the first members has without any message, so that a zone that
     * is cut off goes on.
     *
     * @param endpoint the endpoint
     * @return the number of slots
     */
    int floor(EndpointDescription endpoint) {
        return usableSlots(endpoint) >= memberLimit ? 1 : 0;
    }

    /**
     * Returns the slots of an endpoint that are granted under leases.
     *
     * @param endpoint the endpoint
     * @return the number of slots
     */
    int pool(EndpointDescription endpoint) {
        return usableSlots(endpoint) - memberLimit * floor(endpoint);
    }
}
