package org.damasktiller.daemon.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import io.activej.eventloop.Eventloop;
import io.activej.http.AsyncServlet;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.function.Function;
import org.damasktiller.daemon.entry.Addresses;
import org.damasktiller.daemon.settings.Settings;
import org.damasktiller.error.ErrorCode;
import org.damasktiller.error.Step;
import org.damasktiller.identity.WorkerId;
import org.damasktiller.standin.client.vm.HttpVmDirectory;
import org.damasktiller.standin.endpoint.EndpointBehaviour;
import org.damasktiller.standin.endpoint.EndpointCounters;
import org.damasktiller.standin.endpoint.EndpointServlet;
import org.damasktiller.standin.http.CallContext;
import org.damasktiller.standin.platform.StandInServer;
import org.damasktiller.standin.platform.StoreServlet;
import org.damasktiller.standin.platform.VmListServlet;
import org.damasktiller.standin.platform.VmListState;
import org.damasktiller.standin.platform.WorkerServlet;
import org.damasktiller.standin.store.StoreService;
import org.damasktiller.standin.store.StoreState;
import org.damasktiller.standin.worker.WorkerObserver;
import org.damasktiller.standin.worker.WorkerState;
import org.damasktiller.vm.VmRecord;
import org.damasktiller.vm.VmRole;

/** Runs one stand-in of the platform as a process until it is ended. */
@Parameters(
        commandNames = "standin",
        commandDescription = "Run a stand-in of the platform: store, vms, worker or endpoint")
public final class StandInCommand implements Command {

    /** The name of the command. */
    private static final String NAME = "standin";

    /** The names of the stand-ins, for error messages. */
    private static final String ALLOWED = "store, vms, worker or endpoint";

    /** How long to wait for the list of VMs, in milliseconds. */
    private static final long LIST_TIMEOUT_MILLIS = 10_000;

    /** The stand-in to run. */
    @Parameter(description = "store|vms|worker|endpoint")
    private String standIn = "";

    /** The flags. */
    @ParametersDelegate private final StandInOptions options = new StandInOptions();

    /** Creates the command. */
    public StandInCommand() {}

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public ExitCode run(PrintStream output) {
        InetSocketAddress address = options.address();
        StandInServer server = StandInServer.start(standIn, address, servlet());
        output.println(standIn + " listens on " + server.address());
        if (standIn.equals("worker")) {
            register(options.record(VmRole.WORKER, server.address()));
        }
        if (standIn.equals("endpoint")) {
            register(options.record(VmRole.ENDPOINT, server.address()));
        }
        awaitTermination();
        return ExitCode.SUCCESS;
    }

    /**
     * Gives what makes the servlet of the stand-in on its event loop.
     *
     * @return makes the servlet
     */
    private Function<Eventloop, AsyncServlet> servlet() {
        return switch (standIn) {
            case "store" ->
                    eventloop ->
                            StoreServlet.create(
                                    eventloop, new StoreService(eventloop, new StoreState()));
            case "vms" -> {
                VmListState list = new VmListState(options.lagMillis());
                yield eventloop -> VmListServlet.create(eventloop, list);
            }
            case "worker" -> {
                WorkerId worker = new WorkerId(options.name());
                WorkerState state =
                        new WorkerState(worker, options.capacity(), new WorkerObserver());
                yield eventloop -> WorkerServlet.create(eventloop, Map.of(worker, state));
            }
            case "endpoint" -> {
                EndpointBehaviour behaviour = EndpointBehaviour.healthy(options.serviceMillis());
                yield eventloop ->
                        new EndpointServlet(eventloop, behaviour, new EndpointCounters())
                                .withHealthCheck();
            }
            default -> throw Settings.refused(NAME, standIn, ALLOWED, null);
        };
    }

    /**
     * Adds this VM to the list, if one is set.
     *
     * @param vm this VM's line
     */
    private void register(VmRecord vm) {
        InetSocketAddress list = options.vmList();
        if (list == null) {
            return;
        }
        String peer = Addresses.text(list);
        CallContext context =
                new CallContext(
                        Step.COMMIT, peer, ErrorCode.DEADLINE_EXCEEDED, LIST_TIMEOUT_MILLIS);
        try (ApiClient client = new ApiClient()) {
            client.call(
                    http ->
                            http.post(
                                    "http://" + peer + HttpVmDirectory.PATH,
                                    vm,
                                    VmRecord.class,
                                    context));
        }
    }

    /** Waits until the process is ended. */
    private static void awaitTermination() {
        try {
            new CountDownLatch(1).await();
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }
}
