package org.damasktiller.lab.command;

import java.util.List;

/** Entry point of the {@code damasktiller} program. */
public final class Main {

    /** Prevents instantiation. */
    private Main() {}

    /**
     * Runs one command and exits with its exit code.
     *
     * @param arguments the name of the command and its flags
     */
    public static void main(String[] arguments) {
        CommandLine commandLine =
                new CommandLine(createCommands(), System.getenv(), System.out, System.err);
        System.exit(commandLine.run(arguments).status());
    }

    /**
     * Creates all commands of the program.
     *
     * @return the commands, in the order of the help text
     */
    public static List<Command> createCommands() {
        return List.of(
                new EntryCommand(),
                new LocalCommand(),
                new TableCommand(),
                new ExplainCommand(),
                new WhereCommand(),
                new PoliciesCommand(),
                new SoakCommand(),
                new CrowdCommand());
    }
}
