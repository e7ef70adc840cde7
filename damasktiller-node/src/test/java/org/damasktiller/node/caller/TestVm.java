package org.damasktiller.node.caller;

import io.activej.http.HttpHeaders;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import java.io.IOException;
import java.lang.reflect.Proxy;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.damasktiller.node.cluster.ClusterMember;
import org.damasktiller.node.cluster.LayoutSettings;
import org.damasktiller.node.cluster.ManifestFloor;
import org.damasktiller.node.cluster.ManifestWatcher;
import org.damasktiller.node.cluster.NodeIdentity;
import org.damasktiller.node.cluster.TestManifests;
import org.damasktiller.node.intake.BodyReader;
import org.damasktiller.node.intake.IntakeBudget;
import org.damasktiller.node.intake.IntakeLimits;
import org.damasktiller.platform.call.InvalidFieldException;
import org.damasktiller.platform.call.JsonBodies;
import org.damasktiller.scheduler.cell.CellSettings;
import org.damasktiller.scheduler.port.AdviceClient;
import org.damasktiller.scheduler.port.MetadataStore;
import org.damasktiller.scheduler.port.ProcessRuntime;
import org.damasktiller.scheduler.port.WorkerClient;
import org.damasktiller.standin.metadata.CallFault;
import org.damasktiller.standin.metadata.FaultInjectingStoreClient;
import org.damasktiller.standin.metadata.InMemoryStore;
import org.damasktiller.standin.time.VirtualTimeRuntime;

/** The parts of an entry VM that answer callers, with the store and the peers of a test. */
final class TestVm {

    /** The only zone. */
    private static final String ZONE = "a";

    /** Whether the store does not answer the VM. */
    boolean storeSilent;

    /** Whether the store does not answer the watches of the VM. */
    boolean watchesSilent;

    /** Whether the store does not answer single reads of the VM. */
    boolean readsSilent;

    /** Whether the store does not answer the listings of the VM. */
    boolean listingsSilent;

    /** Whether the VM's answers to its peers name no version, as those of an earlier release. */
    boolean earlierRelease;

    /** Whether the VM's answers to its peers are lost, although it has handled the requests. */
    boolean answersLost;

    /** The peers to which the VM passes requests on. */
    final List<TestVm> peers = new ArrayList<>();

    /** The number of requests that were passed on to the VM. */
    int relayedCount;

    /** The longest time for which a request waits for its answer, in milliseconds. */
    private static final long MAX_WAIT_MILLIS = 2_000;

    /** How many listings the VM has asked the store for. */
    int listingCount;

    private final String name;

    private final VirtualTimeRuntime runtime;

    private final ClusterMember member;

    private final ManifestWatcher watcher;

    private final CallerServlet servlet;

    /** Creates and starts a VM. */
    TestVm(String name, InMemoryStore store, VirtualTimeRuntime runtime) {
        this.name = name;
        this.runtime = runtime;
        MetadataStore client = new FaultInjectingStoreClient(store, runtime, this::faultFor);
        member =
                new ClusterMember(
                        new NodeIdentity(name, name, ZONE, 1_000, runtime.unixMillis(), ""),
                        new LayoutSettings(Map.of(ZONE, "north"), 1),
                        CellSettings.builder().build(),
                        client,
                        unusedWorkerClient(),
                        AdviceClient.NONE,
                        TestManifests.DECODER,
                        runtime,
                        (event, fields) -> {});
        watcher =
                new ManifestWatcher(
                        client,
                        TestManifests.DECODER,
                        runtime,
                        (event, fields) -> {},
                        () -> false,
                        member);
        member.setManifestChangeListener(watcher::onPublished);
        ManifestFloor floor =
                new ManifestFloor(watcher, member::isStoreFailing, runtime, (event, fields) -> {});
        CallerRelay relay =
                new CallerRelay(
                        () ->
                                peers.stream()
                                        .map(peer -> new RelayPeer(peer.name, ZONE, ""))
                                        .toList(),
                        new RelayPeerSelector(ZONE, Map.of(ZONE, "north")),
                        this::send,
                        floor,
                        runtime,
                        (event, fields) -> {});
        servlet =
                new CallerServlet(
                        watcher::current,
                        new SubmissionAcceptor(
                                client,
                                member::layout,
                                ZONE,
                                member::largestWorkers,
                                member::admits,
                                1 << 20,
                                runtime,
                                (event, fields) -> {}),
                        new SubmissionStateHandler(
                                client, member::submissionState, runtime, (event, fields) -> {}),
                        member,
                        relay,
                        floor,
                        new BodyReader(
                                new IntakeBudget(IntakeLimits.of(128 << 20, 0), runtime),
                                runtime,
                                (event, fields) -> {}),
                        runtime,
                        (event, fields) -> {});
        watcher.start();
        member.start();
    }

    /** Creates a floor of a process that has no manifest and whose store answers. */
    static ManifestFloor floorWithoutManifest(ProcessRuntime runtime) {
        return new ManifestFloor(
                new ManifestWatcher(
                        new FaultInjectingStoreClient(
                                new InMemoryStore(runtime), runtime, call -> CallFault.ANSWERED),
                        TestManifests.DECODER,
                        runtime,
                        (event, fields) -> {},
                        () -> false,
                        (manifest, revision, published) -> {}),
                () -> false,
                runtime,
                (event, fields) -> {});
    }

    /** Returns the answer to a request for the count of a queue. */
    HttpResponse count(String queue) {
        return get("/" + queue + "/");
    }

    /** Returns the answer to a submission. */
    HttpResponse submit(String queue, String body) {
        return answer(
                HttpRequest.post("http://host/" + queue + "/0123456789abcdef")
                        .withHeader(HttpHeaders.HOST, "host")
                        .withBody(body.getBytes(StandardCharsets.UTF_8))
                        .build());
    }

    /** Returns the version that is in force here, 0 if there is none. */
    long version() {
        return watcher.current() == null ? 0 : watcher.current().version();
    }

    private HttpResponse get(String path) {
        return answer(
                HttpRequest.get("http://host" + path).withHeader(HttpHeaders.HOST, "host").build());
    }

    private HttpResponse answer(HttpRequest request) {
        Promise<HttpResponse> promise;
        try {
            promise = servlet.serve(request);
        } catch (Exception exception) {
            throw new IllegalStateException(exception);
        }
        for (int millis = 0; millis < MAX_WAIT_MILLIS && !promise.isComplete(); millis++) {
            runtime.advance(1);
        }
        return promise.getResult();
    }

    /** Passes a request on, in the form in which it is sent. */
    private void send(RelayPeer peer, RelayedRequest request, Consumer<RelayResult> callback) {
        TestVm vm = peers.stream().filter(one -> one.name.equals(peer.node())).findFirst().get();
        vm.relayedCount++;
        try {
            RelayedRequest received =
                    RelayedRequest.decode(
                            JsonBodies.readRelayed(JsonBodies.write(request.encode())));
            vm.servlet
                    .serveRelayed(received)
                    .whenResult(response -> callback.accept(vm.toResult(response)));
        } catch (InvalidFieldException | IOException exception) {
            throw new IllegalStateException(exception);
        }
    }

    /** Returns how the VM's answer to a peer arrives there. */
    private RelayResult toResult(RelayedResponse relayed) {
        if (answersLost) {
            return new RelayResult(null, 0, true, "no answer");
        }
        return new RelayResult(
                relayed.response(), earlierRelease ? 0 : relayed.manifestRevision(), true, "");
    }

    private CallFault faultFor(String call) {
        if (call.equals("list")) {
            listingCount++;
        }
        boolean silent =
                storeSilent
                        || (watchesSilent && call.startsWith("watch"))
                        || (readsSilent && call.equals("read"))
                        || (listingsSilent && call.equals("list"));
        return silent ? CallFault.LOST : CallFault.ANSWERED;
    }

    private static WorkerClient unusedWorkerClient() {
        return (WorkerClient)
                Proxy.newProxyInstance(
                        WorkerClient.class.getClassLoader(),
                        new Class<?>[] {WorkerClient.class},
                        (proxy, method, arguments) -> null);
    }
}
