package org.damasktiller.scheduler.model;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * A worker as it has registered itself.
 *
 * @param id the worker's identifier, kept when it restarts in place
 * @param service the service that it belongs to
 * @param address where it takes orders
 * @param zone its availability zone
 * @param draining whether it is about to leave
 * @param remainingMillis the least time until it leaves while draining, in milliseconds
 * @param capacity what it has
 * @param labels its kind and its rack
 * @param bornUnixMillis when this boot began, in milliseconds since 1970, or zero if not told
 */
public record WorkerEntry(
        String id,
        String service,
        InetSocketAddress address,
        String zone,
        boolean draining,
        long remainingMillis,
        Resources capacity,
        List<String> labels,
        long bornUnixMillis) {

    /** Copies the labels. */
    public WorkerEntry {
        labels = List.copyOf(labels);
    }
}
