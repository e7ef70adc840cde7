package org.damasktiller.daemon.peer;

import io.activej.promise.Promise;
import io.activej.promise.Promises;
import io.activej.reactor.nio.NioReactor;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.damasktiller.error.DamasktillerException;
import org.damasktiller.identity.EndpointId;
import org.damasktiller.identity.VmId;
import org.damasktiller.identity.ZoneName;
import org.damasktiller.membership.GossipCodec;
import org.damasktiller.membership.GossipMessage;
import org.damasktiller.membership.Membership;
import org.damasktiller.membership.MembershipAction;
import org.damasktiller.membership.MembershipCounters;
import org.damasktiller.membership.MembershipSettings;
import org.damasktiller.peer.EndpointMark;
import org.damasktiller.peer.NodeOutput;
import org.damasktiller.peer.PeerAction;
import org.damasktiller.peer.PeerCore;
import org.damasktiller.peer.PeerMessage;
import org.damasktiller.peer.StoreWatch;
import org.damasktiller.peer.ZoneMap;
import org.damasktiller.peer.ZoneStatus;
import org.damasktiller.store.KeyValueStore;
import org.damasktiller.table.OperatorTable;
import org.damasktiller.table.TableRepository;
import org.damasktiller.vm.VmRecord;

/**
 * Runs the membership of an entry VM and the spread of the table on it. Belongs to one reactor
 * thread; the listeners are called on it.
 *
 * <p>Use in a composition root:
 *
 * <pre>{@code
 * PeerNode node =
 *         PeerNode.builder(reactor, self, zone, zoneMap, store)
 *                 .seeds(seeds)
 *                 .storeRegion(region)
 *                 .tableListener(tableInForce::accept)
 *                 .memberListener(members -> cells.onMembers(Assignment.of(cellIds, members)))
 *                 .endpointListener(mark -> endpoints.mark(mark.endpoint(), mark.leaving()))
 *                 .build();
 * node.start();                          // binds UDP and TCP on the address of the node
 * node.onVmList(records);                // after each reading of the platform's list
 * node.onLocalTable(table);              // after an edit was accepted on this VM
 * node.markEndpoint(endpoint, true);     // when an endpoint says that it is draining
 * node.statuses();                       // for status and for table put --wait
 * node.startLeaving();                   // at the start of a drain
 * node.stop();                           // at its end; tells the others
 * }</pre>
 *
 * <p>A table change is in force everywhere once the {@link ZoneStatus#inForceVersion} of each zone
 * that is not cut off has reached its version.
 */
public final class PeerNode {

    /** The log. */
    private static final Logger LOGGER = System.getLogger(PeerNode.class.getName());

    /** The time between two ticks, in milliseconds. */
    private static final long TICK_MILLIS = 100;

    /** How long the watcher has to answer a request for the statuses, in milliseconds. */
    private static final long STATUS_MILLIS = 500;

    /** How long the last news may take to be sent before the sockets close, in milliseconds. */
    private static final long LAST_NEWS_MILLIS = 200;

    /** The runtime that does the I/O. */
    private final NioReactor reactor;

    /** Who this node is. */
    private final PeerIdentity identity;

    /** Decides. */
    private final PeerCore core;

    /** Sends and receives gossip. */
    private final GossipSocket gossip;

    /** Sends and receives messages. */
    private final PeerTransport transport;

    /** Makes and serves calls. */
    private final PeerCalls calls;

    /** Watches the store. */
    private final StoreWatch watch;

    /** Writes a table back to a store that came back older. */
    private final TableRepository repository;

    /** Who is told of changes. */
    private final PeerListeners listeners;

    /** Whether the node runs. */
    private boolean running;

    /** Whether a repair of the store is under way. */
    private boolean repairing;

    /**
     * Creates a node that is not started.
     *
     * @param reactor the runtime that does the I/O
     * @param identity who this node is
     * @param seeds addresses of some entry VMs, of any zone
     * @param store the key-value service
     * @param random the source of random choices
     * @param listeners who is told of changes
     */
    PeerNode(
            NioReactor reactor,
            PeerIdentity identity,
            Set<VmId> seeds,
            KeyValueStore store,
            Random random,
            PeerListeners listeners) {
        this.reactor = reactor;
        this.identity = identity;
        this.listeners = listeners;
        VmId self = identity.place().self();
        GossipCodec codec = new GossipCodec(identity.place().zone(), identity.cluster());
        Membership membership =
                new Membership(
                        self,
                        reactor.currentTimeMillis(),
                        seeds,
                        MembershipSettings.STANDARD,
                        message -> codec.encode(message).length,
                        random);
        this.core = new PeerCore(identity.place(), membership);
        hintSeeds(seeds);
        this.gossip =
                new GossipSocket(reactor, PeerAddresses.address(self), codec, this::onDatagram);
        this.transport =
                new PeerTransport(reactor, PeerAddresses.address(self), identity, this::onMessage);
        this.calls = new PeerCalls(reactor, transport::send);
        this.watch =
                new StoreWatch(
                        store,
                        () -> core.spread().watchesStore(now()),
                        () -> table().version(),
                        table -> carryOut(core.onStoreTable(table, now())),
                        core.spread()::onStoreSilent);
        this.repository = new TableRepository(store, Set.of(), this::now, () -> table().version());
    }

    /**
     * Starts to build a node.
     *
     * @param reactor the runtime that does the I/O
     * @param self the address of the node, an IP number with a port, for TCP and UDP
     * @param zone the zone of the node
     * @param zoneMap the regions of all zones
     * @param store the key-value service
     * @return a builder
     */
    public static PeerNodeBuilder builder(
            NioReactor reactor, VmId self, ZoneName zone, ZoneMap zoneMap, KeyValueStore store) {
        return new PeerNodeBuilder(reactor, self, zone, zoneMap, store);
    }

    /**
     * Binds the sockets and starts.
     *
     * @return a promise that fails if an address cannot be bound
     */
    public Promise<Void> start() {
        return gossip.open()
                .then(ignored -> transport.listen())
                .whenResult(
                        () -> {
                            running = true;
                            tick();
                        });
    }

    /**
     * Sets what serves the calls of other entry VMs.
     *
     * @param service the service
     */
    public void serve(PeerService service) {
        calls.serve(service);
    }

    /**
     * Calls another entry VM.
     *
     * @param to the entry VM
     * @param body the encoded call
     * @return the encoded answer; fails if none came in time
     */
    public Promise<byte[]> call(VmId to, byte[] body) {
        return calls.call(to, body);
    }

    /** Marks this node as leaving, so that it owns nothing new and receives no new work. */
    public void startLeaving() {
        carryOut(core.startLeaving(now()));
    }

    /**
     * Tells the others that this node is gone, and closes the sockets.
     *
     * @return a promise completed when the sockets are closed
     */
    public Promise<Void> stop() {
        if (!running) {
            return Promise.complete();
        }
        carryOut(core.leave(now()));
        running = false;
        return Promises.delay(LAST_NEWS_MILLIS)
                .then(
                        ignored -> {
                            gossip.close();
                            return transport.close();
                        });
    }

    /**
     * Takes in the platform's list of VMs; the address of an entry VM is that for its peers.
     *
     * @param records the list, of all zones
     */
    public void onVmList(List<VmRecord> records) {
        carryOut(core.onDirectory(records, now()));
    }

    /**
     * Takes in a table that was read from the store on this VM, such as after an accepted edit, so
     * that it spreads from here at once.
     *
     * @param table the table
     */
    public void onLocalTable(OperatorTable table) {
        carryOut(core.onStoreTable(table, now()));
    }

    /**
     * Marks an endpoint in all zones.
     *
     * @param endpoint the endpoint
     * @param leaving whether it must receive no new work
     */
    public void markEndpoint(EndpointId endpoint, boolean leaving) {
        carryOut(core.markEndpoint(new EndpointMark(endpoint, now(), leaving), now()));
    }

    /**
     * Returns the table in force on this VM.
     *
     * @return the table, of version zero before the first was read
     */
    public OperatorTable table() {
        return core.spread().table();
    }

    /**
     * Lists the members of the zone that may own cells and receive new work.
     *
     * @return the members in order, equal at members with equal views
     */
    public List<VmId> liveMembers() {
        return core.liveMembers();
    }

    /**
     * Tells whether an endpoint must receive no new work.
     *
     * @param endpoint the endpoint
     * @return whether it is marked as leaving
     */
    public boolean endpointLeaving(EndpointId endpoint) {
        return core.membership().endpointLeaving(endpoint);
    }

    /**
     * Tells whether this node is the watcher of its zone.
     *
     * @return whether it is
     */
    public boolean watcher() {
        return core.spread().watcher();
    }

    /**
     * Reads the state of all zones from the watcher of this zone. If the watcher does not answer,
     * the latest state heard is returned with its age.
     *
     * @return the states
     */
    public Promise<List<ZoneStatus>> statuses() {
        if (core.spread().watcher()) {
            return Promise.of(core.spread().statuses(now()));
        }
        carryOut(core.refreshStatuses());
        return Promises.delay(STATUS_MILLIS).map(ignored -> core.spread().statuses(now()));
    }

    /**
     * Returns the counters of the membership.
     *
     * @return the counters
     */
    public MembershipCounters counters() {
        return core.membership().counters();
    }

    /**
     * Offers the seeds as addresses of each other zone; a member of another zone than the one asked
     * for answers too.
     *
     * @param seeds the seeds
     */
    private void hintSeeds(Set<VmId> seeds) {
        for (ZoneName other : identity.place().zoneMap().zones()) {
            if (!other.equals(identity.place().zone())) {
                seeds.forEach(seed -> core.hint(other, seed));
            }
        }
    }

    /** Does what is due, again and again while the node runs. */
    private void tick() {
        if (!running) {
            return;
        }
        carryOut(core.onTick(now()));
        watch.onTick(now());
        transport.onTick(now());
        reactor.delayBackground(TICK_MILLIS, this::tick);
    }

    /**
     * Takes in a datagram.
     *
     * @param message the message
     * @param bytes its size without headers
     */
    private void onDatagram(GossipMessage message, int bytes) {
        carryOut(core.onDatagram(message, bytes, now()));
    }

    /**
     * Takes in a message.
     *
     * @param from the sender
     * @param message the message
     */
    private void onMessage(VmId from, PeerMessage message) {
        try {
            if (calls.onMessage(from, message)) {
                return;
            }
            carryOut(core.onMessage(from, message, now()));
        } catch (DamasktillerException e) {
            LOGGER.log(Level.WARNING, "refused a message of {0}: {1}", from, e.getMessage());
        }
    }

    /**
     * Does what the node asks for.
     *
     * @param output what it asks for
     */
    private void carryOut(NodeOutput output) {
        boolean membersChanged = false;
        for (MembershipAction action : output.gossip()) {
            if (action instanceof MembershipAction.Send send) {
                gossip.send(send.to(), send.message());
            } else if (action instanceof MembershipAction.MemberChanged) {
                membersChanged = true;
            } else if (action instanceof MembershipAction.EndpointMarked marked) {
                listeners
                        .endpoint()
                        .accept(
                                new EndpointMark(
                                        marked.endpoint(), marked.stamp(), marked.leaving()));
            }
        }
        output.peer().forEach(this::carryOut);
        if (membersChanged) {
            listeners.members().accept(core.liveMembers());
        }
    }

    /**
     * Does one thing that the spread asks for.
     *
     * @param action what it asks for
     */
    private void carryOut(PeerAction action) {
        if (action instanceof PeerAction.Send send) {
            transport.send(send.to(), send.message());
        } else if (action instanceof PeerAction.Adopted adopted) {
            listeners.table().accept(adopted.table());
        } else if (action instanceof PeerAction.RepairStore repair && !repairing) {
            repairing = true;
            repository
                    .repair(repair.table())
                    .whenComplete(() -> repairing = false)
                    .whenResult(
                            done ->
                                    LOGGER.log(
                                            Level.WARNING,
                                            "the store was behind table version {0}; written"
                                                    + " back: {1}",
                                            repair.table().version(),
                                            done));
        }
    }

    /**
     * Returns the time.
     *
     * @return the time of the reactor, in milliseconds since 1970
     */
    private long now() {
        return reactor.currentTimeMillis();
    }
}
