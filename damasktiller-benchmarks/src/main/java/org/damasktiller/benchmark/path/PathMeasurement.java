package org.damasktiller.benchmark.path;

import io.activej.common.time.CurrentTimeProvider;
import io.activej.eventloop.Eventloop;
import io.activej.http.AsyncServlet;
import java.lang.management.ManagementFactory;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.UUID;
import java.util.function.Function;
import org.HdrHistogram.Histogram;
import org.damasktiller.benchmark.FigureReport;
import org.damasktiller.benchmark.Measurement;
import org.damasktiller.daemon.command.ApiClient;
import org.damasktiller.daemon.entry.EntryNode;
import org.damasktiller.daemon.operator.OperatorPaths;
import org.damasktiller.daemon.operator.TableChangeBody;
import org.damasktiller.daemon.operator.TablePutBody;
import org.damasktiller.daemon.settings.EntrySettings;
import org.damasktiller.daemon.settings.Settings;
import org.damasktiller.error.ErrorCode;
import org.damasktiller.error.Step;
import org.damasktiller.identity.RackName;
import org.damasktiller.identity.ZoneName;
import org.damasktiller.standin.endpoint.EndpointBehaviour;
import org.damasktiller.standin.endpoint.EndpointCounters;
import org.damasktiller.standin.endpoint.EndpointServlet;
import org.damasktiller.standin.http.CallContext;
import org.damasktiller.standin.platform.StandInServer;
import org.damasktiller.standin.platform.StoreServlet;
import org.damasktiller.standin.platform.VmListServlet;
import org.damasktiller.standin.platform.VmListState;
import org.damasktiller.standin.store.StoreService;
import org.damasktiller.standin.store.StoreState;
import org.damasktiller.vm.VmRecord;
import org.damasktiller.vm.VmRole;
import org.damasktiller.vm.VmState;

/**
 * Measures what one entry VM adds to a direct call of the same endpoint, in turns within one run.
 * Entry VM, stand-ins and load run in one process, each on an event loop of its own.
 */
public final class PathMeasurement implements Measurement {

    /** The availability zone. */
    private static final String ZONE = "leinster-1";

    /** The table with the kind of work that is called. */
    private static final String TABLE =
            "kind,tenant,class,deadline\norder-lookup,call-centre,interactive,2s\n";

    /** The number of connections, within the slots of the endpoint. */
    private static final int CONNECTIONS = 4;

    /** How long the endpoint takes for a request, in milliseconds. */
    private static final long SERVICE_MILLIS = 1;

    /** How many turns direct and through the entry VM are taken. */
    private static final int TURNS = 3;

    /** The length of a turn in a short run, in milliseconds. */
    private static final long QUICK_TURN_MILLIS = 3_000;

    /** The length of a turn, in milliseconds. */
    private static final long TURN_MILLIS = 10_000;

    /** How long to wait for an answer, in milliseconds. */
    private static final long TIMEOUT_MILLIS = 10_000;

    /** The time between two tries of the first call, in milliseconds. */
    private static final long FIRST_CALL_TURN_MILLIS = 20;

    /** The significant digits of the latencies. */
    private static final int SIGNIFICANT_DIGITS = 3;

    /** The percentiles reported, in percent. */
    private static final double[] PERCENTILES = {50, 99};

    /** The number of bytes in a megabyte. */
    private static final double BYTES_PER_MEGABYTE = 1e6;

    /** The number of nanoseconds in a millisecond. */
    private static final double NANOS_PER_MILLI = 1e6;

    /** Creates the measurement. */
    public PathMeasurement() {}

    @Override
    public void run(boolean quick, FigureReport report) {
        VmListState vmList = new VmListState(0);
        try (StandInServer list = start("vms", loop -> VmListServlet.create(loop, vmList));
                StandInServer store =
                        start(
                                "store",
                                loop ->
                                        StoreServlet.create(
                                                loop, new StoreService(loop, new StoreState())));
                StandInServer endpoint =
                        start(
                                "endpoint",
                                loop ->
                                        new EndpointServlet(
                                                        loop,
                                                        EndpointBehaviour.healthy(SERVICE_MILLIS),
                                                        new EndpointCounters())
                                                .withHealthCheck())) {
            list.run(() -> vmList.put(line(endpoint), now()));
            long startNanos = System.nanoTime();
            EntryNode node = startNode(store, list);
            putTable(node);
            try (CallLoad load = new CallLoad(CONNECTIONS, "order-lookup", "call-centre")) {
                awaitFirstAnswer(load, node);
                report.add(
                        "start_to_first_answer",
                        (System.nanoTime() - startNanos) / NANOS_PER_MILLI,
                        "ms");
                compare(quick, report, load, endpoint.address(), node.callerAddress());
            }
            reportHeap(report);
            node.drain().join();
        }
    }

    /**
     * Takes turns of direct calls and calls through the entry VM, and reports the difference.
     *
     * @param quick whether to take short turns
     * @param report where the figures go
     * @param load sends the calls
     * @param direct the address of the endpoint
     * @param through the address of the entry VM
     */
    private static void compare(
            boolean quick, FigureReport report, CallLoad load, String direct, String through) {
        long turnMillis = quick ? QUICK_TURN_MILLIS : TURN_MILLIS;
        load.run(direct, turnMillis);
        load.run(through, turnMillis);
        CallLoad.Sample directSample = new CallLoad.Sample(new Histogram(SIGNIFICANT_DIGITS));
        CallLoad.Sample throughSample = new CallLoad.Sample(new Histogram(SIGNIFICANT_DIGITS));
        for (int turn = 0; turn < TURNS; turn++) {
            directSample.add(load.run(direct, turnMillis));
            throughSample.add(load.run(through, turnMillis));
        }
        report.add("direct_rate", directSample.ratePerSecond(), "requests/s");
        report.add("entry_rate", throughSample.ratePerSecond(), "requests/s");
        for (double percent : PERCENTILES) {
            double directMillis = directSample.millisAt(percent);
            double throughMillis = throughSample.millisAt(percent);
            String name = "p" + Math.round(percent);
            report.add("direct_" + name, directMillis, "ms");
            report.add("entry_" + name, throughMillis, "ms");
            report.add("added_" + name, throughMillis - directMillis, "ms");
        }
        report.add("calls_without_whole_answer", (double) throughSample.failures(), "calls");
    }

    /**
     * Reports the heap in use after a collection.
     *
     * @param report where the figure goes
     */
    private static void reportHeap(FigureReport report) {
        System.gc();
        long bytes = ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
        report.add("heap_after_run", (double) bytes / BYTES_PER_MEGABYTE, "MB");
    }

    /**
     * Calls until the first whole answer.
     *
     * @param load sends the calls
     * @param node the entry VM
     */
    private static void awaitFirstAnswer(CallLoad load, EntryNode node) {
        double rate = 0;
        while (rate == 0) {
            rate = load.run(node.callerAddress(), FIRST_CALL_TURN_MILLIS).ratePerSecond();
        }
    }

    /**
     * Starts the entry VM.
     *
     * @param store the key-value service
     * @param list the list of VMs
     * @return the entry VM
     */
    private static EntryNode startNode(StandInServer store, StandInServer list) {
        String freePort = "127.0.0.1:0";
        String[] flags = {
            "--address",
            freePort,
            "--operator-address",
            freePort,
            "--peer-address",
            freePort,
            "--zone",
            ZONE,
            "--zones",
            ZONE + "=leinster",
            "--store",
            store.address(),
            "--vm-list",
            list.address(),
            "--drain-notice-millis",
            "0"
        };
        EntrySettings settings = new EntrySettings();
        Settings.read(settings, flags, Map.of());
        settings.check();
        return EntryNode.start(settings);
    }

    /**
     * Puts the table.
     *
     * @param node the entry VM
     */
    private static void putTable(EntryNode node) {
        TablePutBody body = new TablePutBody(UUID.randomUUID().toString(), "measurement", 0, TABLE);
        String url = "http://" + node.operatorAddress() + OperatorPaths.TABLE;
        CallContext context =
                new CallContext(
                        Step.ACCEPT, "entry VM", ErrorCode.DEADLINE_EXCEEDED, TIMEOUT_MILLIS);
        try (ApiClient client = new ApiClient()) {
            client.call(http -> http.post(url, body, TableChangeBody.class, context));
        }
    }

    /**
     * Makes the endpoint's line of the list of VMs.
     *
     * @param endpoint the endpoint
     * @return the line
     */
    private static VmRecord line(StandInServer endpoint) {
        return new VmRecord(
                "endpoint-1",
                endpoint.address(),
                new ZoneName(ZONE),
                new RackName("rack-1"),
                VmRole.ENDPOINT,
                VmState.LIVE);
    }

    /**
     * Returns the time.
     *
     * @return the time, in milliseconds
     */
    private static long now() {
        return CurrentTimeProvider.ofSystem().currentTimeMillis();
    }

    /**
     * Starts a stand-in on a free port of loopback.
     *
     * @param name the name of its thread
     * @param servlet makes its servlet
     * @return the stand-in
     */
    private static StandInServer start(String name, Function<Eventloop, AsyncServlet> servlet) {
        return StandInServer.start(
                name, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), servlet);
    }
}
