package org.damasktiller.scheduler.model;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * The registration of a worker in the platform's store.
 *
 * @param id the identifier of the worker, which stays the same when it restarts in place
 * @param service the service that the worker belongs to
 * @param address the address at which the worker accepts calls
 * @param zone the availability zone of the worker
 * @param draining whether the worker is about to leave and must not get new work
 * @param remainingMillis the minimum time until a draining worker leaves, in milliseconds
 * @param capacity the total resources of the worker
 * @param labels the labels of the worker: its kind and its rack
 * @param bootUnixMillis when the worker booted, in milliseconds since 1970, or 0 if not reported
 * @param coldRemainingMillis how much longer the worker stays slow after its start, in
 *     milliseconds, counted from when it wrote the entry; 0 if it is warm
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
        long bootUnixMillis,
        long coldRemainingMillis) {

    /** Makes an immutable copy of the labels. */
    public WorkerEntry {
        labels = List.copyOf(labels);
    }

    /**
     * Tells whether a boot before another one wrote the entry. The later boot may have other labels
     * and another capacity.
     *
     * @param otherBootUnixMillis when the other boot began, in milliseconds since 1970, or 0 if
     *     that is not known
     * @return whether it did; false if the entry names no boot
     */
    public boolean isOfBootBefore(long otherBootUnixMillis) {
        return bootUnixMillis > 0 && bootUnixMillis < otherBootUnixMillis;
    }
}
