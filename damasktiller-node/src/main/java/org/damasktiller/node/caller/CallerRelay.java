package org.damasktiller.node.caller;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.damasktiller.node.cluster.ClusterMember;
import org.damasktiller.node.cluster.ManifestFloor;
import org.damasktiller.node.cluster.NodeRecord;
import org.damasktiller.platform.call.JsonHttpClient;
import org.damasktiller.scheduler.port.DecisionLog;
import org.damasktiller.scheduler.port.ProcessRuntime;

/**
 * Passes the requests of callers on to peers while this VM can't reach the store. A request is sent
 * to another peer only if the one before has certainly not carried it out.
 */
public final class CallerRelay {

    /** Returns the known peers. */
    private final Supplier<Collection<RelayPeer>> peers;

    /** Selects the peers that are tried. */
    private final RelayPeerSelector selector;

    /** Sends the requests. */
    private final RelayTransport transport;

    /** Is told the versions of the manifest by which peers answer. */
    private final ManifestFloor manifestFloor;

    /** The clock. */
    private final ProcessRuntime runtime;

    /** The log. */
    private final DecisionLog log;

    /**
     * Creates a relay.
     *
     * @param peers returns the known peers
     * @param selector selects the peers that are tried
     * @param transport sends the requests
     * @param manifestFloor is told the versions of the manifest by which peers answer
     * @param runtime the clock
     * @param log the log
     */
    CallerRelay(
            Supplier<Collection<RelayPeer>> peers,
            RelayPeerSelector selector,
            RelayTransport transport,
            ManifestFloor manifestFloor,
            ProcessRuntime runtime,
            DecisionLog log) {
        this.peers = peers;
        this.selector = selector;
        this.transport = transport;
        this.manifestFloor = manifestFloor;
        this.runtime = runtime;
        this.log = log;
    }

    /**
     * Creates a relay to the peers that a member of the cluster knows.
     *
     * @param clusterMember knows the peers
     * @param zone the availability zone of this VM
     * @param regionByZone the region of each availability zone
     * @param client sends the requests
     * @param manifestFloor is told the versions of the manifest by which peers answer
     * @param runtime the clock
     * @param log the log
     * @return the relay
     */
    public static CallerRelay create(
            ClusterMember clusterMember,
            String zone,
            Map<String, String> regionByZone,
            JsonHttpClient client,
            ManifestFloor manifestFloor,
            ProcessRuntime runtime,
            DecisionLog log) {
        return new CallerRelay(
                () -> toRelayPeers(clusterMember.peers()),
                new RelayPeerSelector(zone, regionByZone),
                new HttpRelayTransport(client),
                manifestFloor,
                runtime,
                log);
    }

    /**
     * Lists the processes that take requests of other VMs.
     *
     * @param nodes the registered processes on other VMs
     * @return the peers
     */
    private static List<RelayPeer> toRelayPeers(Collection<NodeRecord> nodes) {
        List<RelayPeer> peers = new ArrayList<>();
        for (NodeRecord node : nodes) {
            String address = node.peerAddress();
            if (address != null && !address.isEmpty()) {
                peers.add(new RelayPeer(node.node(), node.zone(), address));
            }
        }
        return peers;
    }

    /**
     * Passes a request on.
     *
     * @param request the request
     * @param callback receives the response of a peer, or that the outcome is unknown
     * @param fallback called instead if no peer could serve the request, which had no effect
     */
    void relay(RelayedRequest request, Consumer<CallerResponse> callback, Runnable fallback) {
        long nowMillis = runtime.nowMillis();
        new Attempts(request, selector.select(peers.get(), nowMillis), callback, fallback).next(0);
    }

    /** The attempts to have one request served. */
    private final class Attempts {

        /** The request. */
        private final RelayedRequest request;

        /** The peers to try, in order. */
        private final List<RelayPeer> candidates;

        /** Receives the response. */
        private final Consumer<CallerResponse> callback;

        /** Called if no peer could serve the request. */
        private final Runnable fallback;

        /** When the request was received, in milliseconds. */
        private final long startMillis = runtime.nowMillis();

        /**
         * Creates the attempts of a request.
         *
         * @param request the request
         * @param candidates the peers to try, in order
         * @param callback receives the response
         * @param fallback called if no peer could serve the request
         */
        Attempts(
                RelayedRequest request,
                List<RelayPeer> candidates,
                Consumer<CallerResponse> callback,
                Runnable fallback) {
            this.request = request;
            this.candidates = candidates;
            this.callback = callback;
            this.fallback = fallback;
        }

        /**
         * Sends the request to the next peer.
         *
         * @param index the position of the peer
         */
        void next(int index) {
            long leftMillis =
                    request.timeoutMillis()
                            - CallerRequest.DEADLINE_MARGIN_MILLIS
                            - (runtime.nowMillis() - startMillis);
            if (index >= candidates.size() || leftMillis <= 0) {
                fallback.run();
                return;
            }
            RelayPeer peer = candidates.get(index);
            RelayedRequest remaining =
                    new RelayedRequest(
                            request.method(),
                            request.host(),
                            request.path(),
                            leftMillis,
                            manifestFloor.revision(),
                            request.body());
            transport.send(peer, remaining, result -> onResult(peer, index, result));
        }

        /**
         * Passes a response on, or tries the next peer.
         *
         * @param peer the peer
         * @param index its position
         * @param result the result
         */
        private void onResult(RelayPeer peer, int index, RelayResult result) {
            CallerResponse response = result.response();
            log.log(
                    "request.relayed",
                    "method",
                    request.method(),
                    "path",
                    request.path(),
                    "peer",
                    peer.node(),
                    "status",
                    response == null ? 0 : response.status(),
                    "failure",
                    result.failure(),
                    "manifestRevision",
                    result.manifestRevision(),
                    "millis",
                    runtime.nowMillis() - startMillis);
            if (response != null && !response.mayBeTriedElsewhere()) {
                manifestFloor.onPeerRevision(result.manifestRevision());
                callback.accept(response);
                return;
            }
            selector.onFailed(peer, runtime.nowMillis());
            if (response == null && result.possiblySent()) {
                manifestFloor.onOutcomeUnknown();
                callback.accept(
                        CallerResponse.outcomeUnknown(
                                "the peer " + peer.node() + " did not respond"));
            } else {
                next(index + 1);
            }
        }
    }
}
