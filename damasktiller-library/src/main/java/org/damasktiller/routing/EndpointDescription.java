package org.damasktiller.routing;

import org.damasktiller.identity.EndpointId;
import org.damasktiller.identity.RegionName;
import org.damasktiller.identity.ZoneName;

/**
 * Describes one endpoint as the platform's list and the settings give it.
 *
 * @param id the endpoint
 * @param address the IP address and port, joined by a colon
 * @param zone the availability zone
 * @param region the region of the zone
 * @param slots how many requests it handles at once, in total for all entry VMs
 * @param connections how many connections it accepts, in total for all entry VMs
 * @param leaving whether it must receive no new work
 */
public record EndpointDescription(
        EndpointId id,
        String address,
        ZoneName zone,
        RegionName region,
        int slots,
        int connections,
        boolean leaving) {

    /** Checks that the endpoint has at least one slot and one connection. */
    public EndpointDescription {
        if (slots < 1 || connections < 1) {
            throw new IllegalArgumentException("endpoint needs a slot and a connection");
        }
    }
}
