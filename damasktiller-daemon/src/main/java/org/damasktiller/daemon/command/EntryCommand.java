package org.damasktiller.daemon.command;

import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.io.PrintStream;
import org.damasktiller.daemon.entry.EntryProcess;
import org.damasktiller.daemon.settings.EntrySettings;

/** Runs an entry VM until it is told to shut down. */
@Parameters(commandNames = "entry", commandDescription = "Run an entry VM")
public final class EntryCommand implements Command {

    /** The settings. */
    @ParametersDelegate private final EntrySettings settings = new EntrySettings();

    /** Creates the command. */
    public EntryCommand() {}

    @Override
    public String name() {
        return "entry";
    }

    @Override
    public ExitCode run(PrintStream output) {
        settings.check();
        return EntryProcess.run(settings) ? ExitCode.SUCCESS : ExitCode.FAILURE;
    }
}
