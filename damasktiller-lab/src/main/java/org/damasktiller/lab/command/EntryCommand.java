package org.damasktiller.lab.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.damasktiller.node.process.NodeProcess;
import org.damasktiller.node.process.Options;
import org.damasktiller.node.process.PolicyConverter;
import org.damasktiller.platform.exit.FatalExit;
import org.damasktiller.platform.settings.SettingsReader;
import org.damasktiller.scheduler.policy.Policy;

/** Runs the program of an entry VM in the foreground. */
@Parameters(
        commandNames = "entry",
        commandDescription = "Run the entry VM program in the foreground")
public final class EntryCommand implements Command {

    /** The path of the settings file that the platform writes. */
    @Parameter(
            names = "--settings",
            description = "Path of the platform's settings file",
            required = true)
    private String settingsPath = "";

    /** The policies that are switched off. */
    @Parameter(
            names = "--without",
            converter = PolicyConverter.class,
            description = "Policies to switch off, separated by commas, for diagnosis")
    private List<Policy> disabledPolicies = new ArrayList<>();

    /** Creates the command; JCommander sets its fields. */
    public EntryCommand() {}

    @Override
    public String name() {
        return "entry";
    }

    @Override
    public ExitCode run(PrintStream output) {
        Thread.setDefaultUncaughtExceptionHandler(FatalExit.halting());
        Path path = Path.of(settingsPath);
        new NodeProcess(path, SettingsReader.read(path), new Options().without(disabledPolicies))
                .run();
        return ExitCode.SUCCESS;
    }
}
