package org.damasktiller.lab.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.PrintStream;
import java.nio.file.Path;
import org.damasktiller.node.process.NodeProcess;
import org.damasktiller.node.process.Options;
import org.damasktiller.platform.settings.SettingsReader;

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

    /** Creates the command; JCommander sets its fields. */
    public EntryCommand() {}

    @Override
    public String name() {
        return "entry";
    }

    @Override
    public ExitCode run(PrintStream output) {
        Path path = Path.of(settingsPath);
        new NodeProcess(path, SettingsReader.read(path), new Options().enableAll()).run();
        return ExitCode.SUCCESS;
    }
}
