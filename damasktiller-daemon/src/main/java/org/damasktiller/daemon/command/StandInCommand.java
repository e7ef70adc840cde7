package org.damasktiller.daemon.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.activej.eventloop.Eventloop;
import io.activej.http.AsyncServlet;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.util.concurrent.CountDownLatch;
import org.damasktiller.daemon.settings.AddressConverter;
import org.damasktiller.daemon.settings.Settings;
import org.damasktiller.standin.platform.StandInServer;
import org.damasktiller.standin.platform.StoreServlet;
import org.damasktiller.standin.platform.VmListServlet;
import org.damasktiller.standin.platform.VmListState;
import org.damasktiller.standin.store.StoreService;
import org.damasktiller.standin.store.StoreState;
import org.jspecify.annotations.Nullable;

/** Runs one stand-in of the platform as a process until it is ended. */
@Parameters(
        commandNames = "standin",
        commandDescription = "Run a stand-in of the platform: store, vms, worker or endpoint")
public final class StandInCommand implements Command {

    /** The name of the command. */
    private static final String NAME = "standin";

    /** The names of the stand-ins, for error messages. */
    private static final String ALLOWED = "store, vms, worker or endpoint";

    /** The stand-in to run. */
    @Parameter(description = "store|vms|worker|endpoint")
    private String standIn = "";

    /** The address to listen on. */
    @Parameter(
            names = "--address",
            description = "IP number and port to listen on",
            converter = AddressConverter.class)
    private @Nullable InetSocketAddress address;

    /** How long a change of the list of VMs stays unseen. */
    @Parameter(
            names = "--lag-millis",
            description = "How long a change of the list of VMs stays unseen, in milliseconds")
    private long lagMillis = 1_000;

    /** Creates the command. */
    public StandInCommand() {}

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public ExitCode run(PrintStream output) {
        InetSocketAddress listenAddress =
                Settings.required("--address", address, AddressConverter.ALLOWED);
        StandInServer server = StandInServer.start(standIn, listenAddress, this::servlet);
        output.println(standIn + " listens on " + server.address());
        awaitTermination();
        return ExitCode.SUCCESS;
    }

    /**
     * Makes the servlet of the stand-in.
     *
     * @param eventloop the event loop that serves
     * @return the servlet
     */
    private AsyncServlet servlet(Eventloop eventloop) {
        return switch (standIn) {
            case "store" ->
                    StoreServlet.create(eventloop, new StoreService(eventloop, new StoreState()));
            case "vms" -> VmListServlet.create(eventloop, new VmListState(lagMillis));
            default -> throw Settings.refused(NAME, standIn, ALLOWED, null);
        };
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
