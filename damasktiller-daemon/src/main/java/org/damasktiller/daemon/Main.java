package org.damasktiller.daemon;

import java.util.List;
import org.damasktiller.daemon.command.CancelCommand;
import org.damasktiller.daemon.command.Command;
import org.damasktiller.daemon.command.CommandLine;
import org.damasktiller.daemon.command.DrainCommand;
import org.damasktiller.daemon.command.EntryCommand;
import org.damasktiller.daemon.command.ExitCode;
import org.damasktiller.daemon.command.JobCommand;
import org.damasktiller.daemon.command.LocalCommand;
import org.damasktiller.daemon.command.StandInCommand;
import org.damasktiller.daemon.command.StatusCommand;
import org.damasktiller.daemon.command.SubmitCommand;
import org.damasktiller.daemon.command.TableCommand;

/** Starts the program. */
public final class Main {

    /** Prevents instantiation. */
    private Main() {}

    /**
     * Runs one command line and exits with its code.
     *
     * @param arguments the words of the command line
     */
    public static void main(String[] arguments) {
        ExitCode code =
                new CommandLine(commands(), System.getenv(), System.out, System.err).run(arguments);
        System.exit(code.number());
    }

    /**
     * Lists the commands.
     *
     * @return the commands
     */
    static List<Command> commands() {
        return List.of(
                new EntryCommand(),
                new StandInCommand(),
                new TableCommand(),
                new StatusCommand(),
                new SubmitCommand(),
                new JobCommand(),
                new CancelCommand(),
                new DrainCommand(),
                new LocalCommand());
    }
}
