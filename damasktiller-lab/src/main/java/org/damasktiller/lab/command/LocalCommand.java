package org.damasktiller.lab.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import org.damasktiller.lab.local.LocalRun;
import org.damasktiller.lab.rig.Deployment;
import org.damasktiller.lab.settings.Settings;
import org.damasktiller.node.process.PolicyConverter;
import org.damasktiller.scheduler.policy.Policy;
import org.damasktiller.scheduler.policy.PolicySet;

/**
 * Runs a deployment on this machine for a short time: entry VMs as processes, simulated workers,
 * and callers that submit work of each kind in a table.
 */
@Parameters(
        commandNames = "local",
        commandDescription = "Run a deployment on this machine with a short mixed load")
public final class LocalCommand implements Command {

    /** The maximum duration of the load, in seconds. */
    private static final long MAXIMUM_LOAD_SECONDS = 3_600;

    /** The maximum number of entry VMs; each is a process of this machine. */
    private static final long MAXIMUM_ENTRY_VM_COUNT = 32;

    /** The path of the file with the table. */
    @Parameter(names = "--table", description = "File with the table as CSV", required = true)
    private String tablePath = "";

    /** The deployment whose zones and workers are simulated. */
    @Parameter(
            names = "--deployment",
            description = "Deployment whose zones and workers are simulated: CORRIB or CARPATICA")
    private Deployment deployment = Deployment.CORRIB;

    /** The duration of the load, in seconds. */
    @Parameter(names = "--seconds", description = "Duration of the load, in seconds")
    private long loadSeconds = 6;

    /** The number of entry VMs. */
    @Parameter(names = "--entry-vms", description = "Number of entry VMs, each a process")
    private int entryVmCount = 4;

    /** The policies that are switched off. */
    @Parameter(
            names = "--without",
            converter = PolicyConverter.class,
            description = "Policies to switch off, separated by commas, for diagnosis")
    private List<Policy> disabledPolicies = new ArrayList<>();

    /** Creates the command; JCommander sets its fields. */
    public LocalCommand() {}

    @Override
    public String name() {
        return "local";
    }

    @Override
    public ExitCode run(PrintStream output) {
        Settings.requireInRange("--seconds", loadSeconds, 1, MAXIMUM_LOAD_SECONDS);
        Settings.requireInRange("--entry-vms", entryVmCount, 1, MAXIMUM_ENTRY_VM_COUNT);
        LocalRun run =
                new LocalRun(
                        deployment,
                        TableCommand.readTable(tablePath, deployment),
                        entryVmCount,
                        loadSeconds,
                        PolicySet.without(disabledPolicies),
                        output);
        return run.run() ? ExitCode.SUCCESS : ExitCode.CHECK_FAILED;
    }
}
