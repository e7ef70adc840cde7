package org.damasktiller.daemon.peer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import io.activej.bytebuf.ByteBuf;
import io.activej.eventloop.Eventloop;
import io.activej.net.socket.tcp.TcpSocket;
import io.activej.promise.Promise;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BooleanSupplier;
import org.damasktiller.identity.EndpointId;
import org.damasktiller.identity.KindName;
import org.damasktiller.identity.RegionName;
import org.damasktiller.identity.TenantName;
import org.damasktiller.identity.VmId;
import org.damasktiller.identity.ZoneName;
import org.damasktiller.peer.PeerCodec;
import org.damasktiller.peer.PeerMessage.Hello;
import org.damasktiller.peer.ZoneMap;
import org.damasktiller.peer.ZoneStatus;
import org.damasktiller.standin.store.StoreService;
import org.damasktiller.standin.store.StoreState;
import org.damasktiller.table.EditId;
import org.damasktiller.table.KindOfWork;
import org.damasktiller.table.OperatorTable;
import org.damasktiller.table.TableEdit;
import org.damasktiller.table.TableRepository;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class PeerNodeTest {

    private static final ZoneName FIRST = new ZoneName("muntenia-1");
    private static final ZoneName SECOND = new ZoneName("banat-1");
    private static final RegionName MUNTENIA = new RegionName("muntenia");
    private static final RegionName BANAT = new RegionName("banat");
    private static final ZoneMap ZONES = new ZoneMap(Map.of(FIRST, MUNTENIA, SECOND, BANAT));
    private static final String CLUSTER = "test";
    private static final int MAXIMUM_CHECKS = 1_500;
    private static final long CHECK_MILLIS = 20;

    private final Eventloop eventloop = Eventloop.builder().withCurrentThread().build();
    private final StoreService store = new StoreService(eventloop, new StoreState());
    private final List<PeerNode> nodes = new ArrayList<>();
    private VmId seed = new VmId("127.0.0.1:1");

    @BeforeEach
    void startNodes() throws IOException {
        List<VmId> ids = List.of(freeAddress(), freeAddress(), freeAddress(), freeAddress());
        seed = ids.get(0);
        Set<VmId> seeds = Set.of(ids.get(0), ids.get(2));
        start(ids.get(0), FIRST, seeds);
        start(ids.get(1), FIRST, seeds);
        start(ids.get(2), SECOND, seeds);
        start(ids.get(3), SECOND, seeds);
    }

    @AfterEach
    void stopNodes() {
        nodes.forEach(PeerNode::stop);
        eventloop.run();
    }

    @Test
    void testEditIsInForceInBothRegions() {
        runUntil(() -> nodes.stream().allMatch(node -> node.liveMembers().size() == 2));
        edit("billing");
        runUntil(() -> nodes.stream().allMatch(node -> node.table().version() == 1));
        edit("route-plan");
        runUntil(() -> nodes.stream().allMatch(node -> node.table().version() == 2));
        AtomicReference<List<ZoneStatus>> statuses = new AtomicReference<>(List.of());
        runUntil(
                () -> {
                    nodes.get(1).statuses().whenResult(statuses::set);
                    return statuses.get().stream()
                                    .filter(status -> status.inForceVersion() == 2)
                                    .count()
                            == 2;
                });
        assertThat(statuses.get(), hasSize(2));
        assertThat(nodes.stream().filter(PeerNode::watcher).count(), is(2L));
    }

    @Test
    void testLeavingNodeAndEndpointAreMarkedEverywhere() {
        runUntil(() -> nodes.stream().allMatch(node -> node.liveMembers().size() == 2));
        runUntil(this::zonesKnowEachOther);
        EndpointId endpoint = new EndpointId("endpoint-1");
        nodes.get(3).markEndpoint(endpoint, true);
        nodes.get(1).startLeaving();
        runUntil(
                () ->
                        nodes.stream().allMatch(node -> node.endpointLeaving(endpoint))
                                && nodes.get(0).liveMembers().size() == 1);
        assertThat(nodes.get(0).liveMembers(), contains(seed));
    }

    @Test
    void testUnknownPeerIsRefused() {
        runUntil(() -> nodes.stream().allMatch(node -> node.liveMembers().size() == 2));
        assertThat(answerTo(hello("other", SECOND, BANAT)), is(false));
        assertThat(answerTo(hello(CLUSTER, new ZoneName("atlantis-1"), BANAT)), is(false));
        assertThat(answerTo(hello(CLUSTER, SECOND, MUNTENIA)), is(false));
        assertThat(answerTo(new byte[PeerCodec.MAXIMUM_BYTES]), is(false));
        assertThat(answerTo(hello(CLUSTER, SECOND, BANAT)), is(true));
    }

    private boolean zonesKnowEachOther() {
        return nodes.stream()
                .filter(PeerNode::watcher)
                .allMatch(node -> node.statuses().getResult().size() == 2);
    }

    /** Returns whether a node confirms a first frame, or else closes the connection. */
    private boolean answerTo(byte[] frame) {
        AtomicReference<Boolean> confirmed = new AtomicReference<>();
        eventloop.post(
                () ->
                        TcpSocket.connect(eventloop, PeerAddresses.address(seed))
                                .whenResult(socket -> exchange(socket, frame, confirmed)));
        runUntil(() -> confirmed.get() != null);
        return confirmed.get();
    }

    private static void exchange(
            TcpSocket socket, byte[] frame, AtomicReference<Boolean> confirmed) {
        socket.write(FrameReader.frame(frame));
        socket.read()
                .subscribe(
                        (ByteBuf bytes, Exception e) -> {
                            confirmed.set(bytes != null);
                            socket.close();
                        });
    }

    private byte[] hello(String cluster, ZoneName zone, RegionName region) {
        return PeerCodec.encode(
                new Hello(
                        PeerCodec.FORMAT_VERSION, cluster, new VmId("127.0.0.1:9"), zone, region));
    }

    private void start(VmId id, ZoneName zone, Set<VmId> seeds) {
        PeerNode node =
                PeerNode.builder(eventloop, id, zone, ZONES, store)
                        .seeds(seeds)
                        .cluster(CLUSTER)
                        .storeRegion(MUNTENIA)
                        .random(new Random(nodes.size()))
                        .build();
        nodes.add(node);
        eventloop.post(() -> node.start().whenException(e -> eventloop.breakEventloop()));
    }

    private void edit(String kind) {
        TableRepository repository =
                new TableRepository(store, Set.of(), eventloop::currentTimeMillis, () -> 0);
        AtomicReference<Promise<?>> done = new AtomicReference<>();
        eventloop.post(
                () ->
                        done.set(
                                repository
                                        .read()
                                        .then(
                                                base ->
                                                        repository.edit(
                                                                new TableEdit(
                                                                        new EditId(kind),
                                                                        "ana",
                                                                        base,
                                                                        with(base, kind))))));
        runUntil(() -> done.get() != null && done.get().isResult());
    }

    private static OperatorTable with(OperatorTable base, String kind) {
        List<KindOfWork> rows = new ArrayList<>(base.rows());
        rows.add(KindOfWork.builder(new KindName(kind), new TenantName("accounts")).build());
        return OperatorTable.of(base.version(), rows);
    }

    /** Runs the event loop until a condition holds, or fails after many checks. */
    private void runUntil(BooleanSupplier condition) {
        AtomicInteger checks = new AtomicInteger();
        eventloop.post(() -> check(condition, checks));
        eventloop.run();
        assertThat(checks.get(), lessThan(MAXIMUM_CHECKS));
    }

    private void check(BooleanSupplier condition, AtomicInteger checks) {
        if (condition.getAsBoolean() || checks.incrementAndGet() >= MAXIMUM_CHECKS) {
            eventloop.breakEventloop();
        } else {
            eventloop.delay(CHECK_MILLIS, () -> check(condition, checks));
        }
    }

    private static VmId freeAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return PeerAddresses.id((InetSocketAddress) socket.getLocalSocketAddress());
        }
    }
}
