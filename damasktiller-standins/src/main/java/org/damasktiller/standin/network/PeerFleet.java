package org.damasktiller.standin.network;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Function;
import org.damasktiller.identity.RegionName;
import org.damasktiller.identity.VmId;
import org.damasktiller.identity.ZoneName;
import org.damasktiller.membership.GossipCodec;
import org.damasktiller.membership.Membership;
import org.damasktiller.membership.MembershipAction;
import org.damasktiller.membership.MembershipSettings;
import org.damasktiller.peer.NodeOutput;
import org.damasktiller.peer.PeerAction;
import org.damasktiller.peer.PeerCodec;
import org.damasktiller.peer.PeerCore;
import org.damasktiller.peer.SpreadSettings;
import org.damasktiller.peer.StoreWatch;
import org.damasktiller.peer.ZoneMap;
import org.damasktiller.standin.time.VirtualTime;
import org.damasktiller.table.TableRepository;

/** Drives nodes of several zones over a virtual network. Not safe for use by several threads. */
public final class PeerFleet {

    /** The time between two ticks of a node, in milliseconds. */
    private static final long TICK_MILLIS = 100;

    /** The bytes of IP and UDP headers, and about those of IP and TCP with a frame. */
    private static final int HEADER_BYTES = 60;

    /** The clock. */
    private final VirtualTime time;

    /** The network. */
    private final VirtualNetwork network;

    /** The store. */
    private final VirtualStore store;

    /** The regions of the zones. */
    private final ZoneMap zoneMap;

    /** The region of the store. */
    private final RegionName storeRegion;

    /** The running nodes. */
    private final Map<VmId, Node> nodes = new TreeMap<>();

    /** The source of seeds for the nodes. */
    private final Random random;

    /**
     * Creates a fleet without nodes.
     *
     * @param time the clock
     * @param network the network
     * @param store the store
     * @param zoneMap the regions of the zones
     * @param storeRegion the region of the store
     * @param seed the seed of random choices
     */
    public PeerFleet(
            VirtualTime time,
            VirtualNetwork network,
            VirtualStore store,
            ZoneMap zoneMap,
            RegionName storeRegion,
            long seed) {
        this.time = time;
        this.network = network;
        this.store = store;
        this.zoneMap = zoneMap;
        this.storeRegion = storeRegion;
        this.random = new Random(seed);
    }

    /**
     * Starts a node.
     *
     * @param id its address
     * @param zone its zone
     * @param seeds addresses of nodes with their zones
     */
    public void start(VmId id, ZoneName zone, Map<VmId, ZoneName> seeds) {
        RegionName region = zoneMap.region(zone).orElseThrow();
        network.place(id, zone, region);
        Set<VmId> sameZone = new TreeSet<>(seeds.keySet());
        sameZone.removeIf(seed -> !zone.equals(seeds.get(seed)));
        Node node = new Node(id, zone, region, sameZone);
        seeds.forEach((address, seedZone) -> node.core.hint(seedZone, address));
        nodes.put(id, node);
        time.after(random.nextInt((int) TICK_MILLIS), () -> tick(node));
    }

    /**
     * Kills a node without a word.
     *
     * @param id its address
     */
    public void kill(VmId id) {
        nodes.remove(id);
    }

    /**
     * Calls a node.
     *
     * @param id its address
     * @param event the call
     */
    public void call(VmId id, Function<PeerCore, NodeOutput> event) {
        Node node = nodes.get(id);
        if (node != null) {
            carryOut(node, event.apply(node.core));
        }
    }

    /**
     * Finds a node.
     *
     * @param id its address
     * @return the node
     */
    public PeerCore node(VmId id) {
        Node node = nodes.get(id);
        if (node == null) {
            throw new IllegalArgumentException(id + " is not running");
        }
        return node.core;
    }

    /**
     * Lists the running nodes.
     *
     * @return their addresses in order
     */
    public List<VmId> running() {
        return List.copyOf(nodes.keySet());
    }

    /**
     * Lists the running nodes of a zone.
     *
     * @param zone the zone
     * @return their addresses in order
     */
    public List<VmId> running(ZoneName zone) {
        List<VmId> found = new ArrayList<>();
        nodes.forEach(
                (id, node) -> {
                    if (node.zone.equals(zone)) {
                        found.add(id);
                    }
                });
        return found;
    }

    /**
     * Makes the repository through which an operator edits on a node.
     *
     * @param id the address of the node
     * @return the repository
     */
    public TableRepository repository(VmId id) {
        return new TableRepository(store.client(id), Set.of(), time::nowMillis, () -> 0);
    }

    /**
     * Returns the lowest version in force on any of some nodes.
     *
     * @param ids the addresses of the nodes
     * @return the version
     */
    public long lowestVersion(List<VmId> ids) {
        return ids.stream().mapToLong(id -> node(id).spread().table().version()).min().orElse(0);
    }

    /**
     * Ticks a node while it runs.
     *
     * @param node the node
     */
    private void tick(Node node) {
        if (nodes.get(node.id) == node) {
            carryOut(node, node.core.onTick(time.nowMillis()));
            node.watch.onTick(time.nowMillis());
            time.after(TICK_MILLIS, () -> tick(node));
        }
    }

    /**
     * Does what a node asks for.
     *
     * @param node the node
     * @param output what it asks for
     */
    private void carryOut(Node node, NodeOutput output) {
        for (MembershipAction action : output.gossip()) {
            if (action instanceof MembershipAction.Send send) {
                byte[] bytes = node.codec.encode(send.message());
                network.sendDatagram(
                        node.id,
                        send.to(),
                        bytes.length + HEADER_BYTES,
                        () -> deliverDatagram(send.to(), bytes));
            }
        }
        for (PeerAction action : output.peer()) {
            if (action instanceof PeerAction.Send send) {
                byte[] bytes = PeerCodec.encode(send.message());
                network.sendStream(
                        node.id,
                        send.to(),
                        bytes.length + HEADER_BYTES,
                        () -> deliverMessage(node.id, send.to(), bytes));
            } else if (action instanceof PeerAction.RepairStore repair) {
                repository(node.id).repair(repair.table());
            }
        }
    }

    /**
     * Delivers a datagram.
     *
     * @param to the receiver
     * @param bytes the datagram
     */
    private void deliverDatagram(VmId to, byte[] bytes) {
        Node node = nodes.get(to);
        if (node != null) {
            call(
                    to,
                    core ->
                            core.onDatagram(
                                    node.codec.decode(bytes, "network"),
                                    bytes.length,
                                    time.nowMillis()));
        }
    }

    /**
     * Delivers a message.
     *
     * @param from the sender
     * @param to the receiver
     * @param bytes the message
     */
    private void deliverMessage(VmId from, VmId to, byte[] bytes) {
        call(
                to,
                core ->
                        core.onMessage(
                                from, PeerCodec.decode(bytes, from.value()), time.nowMillis()));
    }

    /** One node. */
    private final class Node {

        /** Its address. */
        private final VmId id;

        /** Its zone. */
        private final ZoneName zone;

        /** Converts its gossip. */
        private final GossipCodec codec;

        /** Decides. */
        private final PeerCore core;

        /** Watches the store. */
        private final StoreWatch watch;

        /**
         * Creates a node.
         *
         * @param id its address
         * @param zone its zone
         * @param region its region
         * @param seeds addresses of nodes
         */
        private Node(VmId id, ZoneName zone, RegionName region, Set<VmId> seeds) {
            this.id = id;
            this.zone = zone;
            this.codec = new GossipCodec(zone, "fleet");
            SpreadSettings place = new SpreadSettings(id, zone, region, zoneMap, storeRegion);
            Membership membership =
                    new Membership(
                            id,
                            time.nowMillis(),
                            seeds,
                            MembershipSettings.STANDARD,
                            message -> codec.encode(message).length,
                            new Random(random.nextLong()));
            this.core = new PeerCore(place, membership);
            this.watch =
                    new StoreWatch(
                            store.client(id),
                            () -> core.spread().watchesStore(time.nowMillis()),
                            () -> core.spread().table().version(),
                            table -> carryOut(this, core.onStoreTable(table, time.nowMillis())),
                            core.spread()::onStoreSilent);
        }
    }
}
