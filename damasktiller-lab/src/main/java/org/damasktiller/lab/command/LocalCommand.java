package org.damasktiller.lab.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.PrintStream;
import org.damasktiller.lab.local.LocalRun;
import org.damasktiller.lab.rig.Deployment;
import org.damasktiller.lab.settings.Settings;

/** Runs a deployment on this machine with a short mixed load from a table. */
@Parameters(
        commandNames = "local",
        commandDescription = "Run a deployment on this machine with a short mixed load")
public final class LocalCommand implements Command {

    /** The longest load, in seconds. */
    private static final long MAXIMUM_SECONDS = 3_600;

    /** The most entry VMs, each a process. */
    private static final long MAXIMUM_ENTRY_VMS = 32;

    /** The file with the table. */
    @Parameter(names = "--table", description = "File with the table as CSV", required = true)
    private String table = "";

    /** The deployment. */
    @Parameter(
            names = "--deployment",
            description = "Deployment whose zones and workers are run: CORRIB or CARPATICA")
    private Deployment deployment = Deployment.CORRIB;

    /** How long the load lasts. */
    @Parameter(names = "--seconds", description = "How long the load lasts, in seconds")
    private long seconds = 6;

    /** The number of entry VMs. */
    @Parameter(names = "--entry-vms", description = "Number of entry VMs, each a process")
    private int entryVms = 4;

    /** Creates the command. */
    public LocalCommand() {}

    @Override
    public String name() {
        return "local";
    }

    @Override
    public ExitCode run(PrintStream output) {
        Settings.inRange("--seconds", seconds, 1, MAXIMUM_SECONDS);
        Settings.inRange("--entry-vms", entryVms, 1, MAXIMUM_ENTRY_VMS);
        LocalRun run =
                new LocalRun(
                        deployment,
                        TableCommand.read(table, deployment),
                        entryVms,
                        seconds,
                        output);
        return run.run() ? ExitCode.SUCCESS : ExitCode.UNACCOUNTED;
    }
}
