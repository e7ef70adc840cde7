package org.damasktiller.daemon.peer;

import io.activej.reactor.nio.NioReactor;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import org.damasktiller.identity.RegionName;
import org.damasktiller.identity.VmId;
import org.damasktiller.identity.ZoneName;
import org.damasktiller.peer.EndpointMark;
import org.damasktiller.peer.SpreadSettings;
import org.damasktiller.peer.ZoneMap;
import org.damasktiller.store.KeyValueStore;
import org.damasktiller.table.OperatorTable;
import org.jspecify.annotations.Nullable;

/** Builds a {@link PeerNode}; every setter returns the builder. */
public final class PeerNodeBuilder {

    /** The runtime that does the I/O. */
    private final NioReactor reactor;

    /** The address of the node. */
    private final VmId self;

    /** The zone of the node. */
    private final ZoneName zone;

    /** The regions of all zones. */
    private final ZoneMap zoneMap;

    /** The key-value service. */
    private final KeyValueStore store;

    /** Addresses of some entry VMs of any zone. */
    private Set<VmId> seeds = Set.of();

    /** The name shared by all members of the cluster. */
    private String cluster = "damasktiller";

    /** The region of the store, or null. */
    private @Nullable RegionName storeRegion;

    /** The source of random choices. */
    private Random random = new Random();

    /** Told of each table that comes into force here. */
    private Consumer<OperatorTable> tableListener = table -> {};

    /** Told of the live members after each change. */
    private Consumer<List<VmId>> memberListener = members -> {};

    /** Told of each mark of an endpoint. */
    private Consumer<EndpointMark> endpointListener = mark -> {};

    /**
     * Creates a builder.
     *
     * @param reactor the runtime that does the I/O
     * @param self the address of the node, an IP number with a port, for TCP and UDP
     * @param zone the zone of the node
     * @param zoneMap the regions of all zones
     * @param store the key-value service
     */
    PeerNodeBuilder(
            NioReactor reactor, VmId self, ZoneName zone, ZoneMap zoneMap, KeyValueStore store) {
        this.reactor = reactor;
        this.self = self;
        this.zone = zone;
        this.zoneMap = zoneMap;
        this.store = store;
    }

    /**
     * Sets the value of the same name.
     *
     * @param value addresses of some entry VMs, of any zone
     * @return this builder
     */
    public PeerNodeBuilder seeds(Set<VmId> value) {
        seeds = Set.copyOf(value);
        return this;
    }

    /**
     * Sets the value of the same name.
     *
     * @param value the name shared by all members of the cluster
     * @return this builder
     */
    public PeerNodeBuilder cluster(String value) {
        cluster = value;
        return this;
    }

    /**
     * Sets the value of the same name.
     *
     * @param value the region of the store, or null if it is not known
     * @return this builder
     */
    public PeerNodeBuilder storeRegion(@Nullable RegionName value) {
        storeRegion = value;
        return this;
    }

    /**
     * Sets the value of the same name.
     *
     * @param value the source of random choices
     * @return this builder
     */
    public PeerNodeBuilder random(Random value) {
        random = value;
        return this;
    }

    /**
     * Sets the value of the same name.
     *
     * @param value told on the reactor thread of each table that comes into force here
     * @return this builder
     */
    public PeerNodeBuilder tableListener(Consumer<OperatorTable> value) {
        tableListener = value;
        return this;
    }

    /**
     * Sets the value of the same name.
     *
     * @param value told on the reactor thread of the live members of the zone after each change
     * @return this builder
     */
    public PeerNodeBuilder memberListener(Consumer<List<VmId>> value) {
        memberListener = value;
        return this;
    }

    /**
     * Sets the value of the same name.
     *
     * @param value told on the reactor thread of each endpoint that must receive no new work, or
     *     may again
     * @return this builder
     */
    public PeerNodeBuilder endpointListener(Consumer<EndpointMark> value) {
        endpointListener = value;
        return this;
    }

    /**
     * Builds the node.
     *
     * @return the node, not started
     * @throws IllegalArgumentException if the address is not an IP number with a port, or the zone
     *     is not among the zones
     */
    public PeerNode build() {
        RegionName region =
                zoneMap.region(zone)
                        .orElseThrow(
                                () ->
                                        new IllegalArgumentException(
                                                "zone " + zone + " is not among the zones"));
        if (!PeerAddresses.valid(self)) {
            throw new IllegalArgumentException(self + " is not an IP number with a port");
        }
        SpreadSettings place = new SpreadSettings(self, zone, region, zoneMap, storeRegion);
        return new PeerNode(
                reactor,
                new PeerIdentity(cluster, place),
                seeds,
                store,
                random,
                new PeerListeners(tableListener, memberListener, endpointListener));
    }
}
