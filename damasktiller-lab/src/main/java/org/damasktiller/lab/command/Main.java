package org.damasktiller.lab.command;

import java.util.List;

/** The program of the command line. */
public final class Main {

    /** Prevents instantiation. */
    private Main() {}

    /**
     * Runs one command.
     *
     * @param arguments the command line
     */
    public static void main(String[] arguments) {
        CommandLine line = new CommandLine(commands(), System.getenv(), System.out, System.err);
        System.exit(line.run(arguments).number());
    }

    /**
     * Makes the commands.
     *
     * @return the commands
     */
    public static List<Command> commands() {
        return List.of(
                new EntryCommand(),
                new LocalCommand(),
                new TableCommand(),
                new ExplainCommand(),
                new SoakCommand());
    }
}
