package org.damasktiller.lab.command;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import java.io.PrintStream;
import java.util.List;
import java.util.Map;
import org.damasktiller.error.DamasktillerException;
import org.damasktiller.lab.settings.Settings;

/** Selects a command by the first word, reads its settings and runs it. */
public final class CommandLine {

    /** The name of the program. */
    private static final String PROGRAM = "damasktiller";

    /** The commands. */
    private final List<Command> commands;

    /** The environment variables. */
    private final Map<String, String> environment;

    /** Where results go. */
    private final PrintStream output;

    /** Where errors go. */
    private final PrintStream errors;

    /**
     * Creates a command line.
     *
     * @param commands the commands
     * @param environment the environment variables
     * @param output where results go
     * @param errors where errors go
     */
    public CommandLine(
            List<Command> commands,
            Map<String, String> environment,
            PrintStream output,
            PrintStream errors) {
        this.commands = List.copyOf(commands);
        this.environment = Map.copyOf(environment);
        this.output = output;
        this.errors = errors;
    }

    /**
     * Runs one command line.
     *
     * @param arguments the words
     * @return the exit code
     */
    public ExitCode run(String[] arguments) {
        HelpFlag help = new HelpFlag();
        JCommander parser = parser(help);
        try {
            parser.parse(arguments);
            return dispatch(parser, help);
        } catch (ParameterException exception) {
            errors.println(PROGRAM + ": " + exception.getMessage() + "; see --help");
            return ExitCode.USAGE;
        } catch (DamasktillerException failure) {
            errors.println(
                    PROGRAM
                            + ": "
                            + failure.code()
                            + " at "
                            + failure.operation()
                            + (failure.peer().isEmpty() ? "" : " with " + failure.peer())
                            + ", "
                            + failure.outcome()
                            + ": "
                            + failure.getMessage());
            return ExitCode.of(failure);
        }
    }

    /**
     * Makes the parser with all commands.
     *
     * @param help the flag for help
     * @return the parser
     */
    private JCommander parser(HelpFlag help) {
        JCommander.Builder builder =
                JCommander.newBuilder()
                        .programName(PROGRAM)
                        .addObject(help)
                        .defaultProvider(flag -> environment.get(Settings.variableOf(flag)));
        commands.forEach(
                command -> builder.addCommand(command.name(), List.of(command, new HelpFlag())));
        return builder.build();
    }

    /**
     * Runs the command that was selected, or prints help.
     *
     * @param parser the parser after parsing
     * @param help the flag for help on the whole program
     * @return the exit code
     */
    private ExitCode dispatch(JCommander parser, HelpFlag help) {
        JCommander selected = parser.getCommands().get(parser.getParsedCommand());
        if (help.requested || selected == null) {
            (help.requested ? output : errors).println(usage(parser));
            return help.requested ? ExitCode.SUCCESS : ExitCode.USAGE;
        }
        if (asksForHelp(selected)) {
            output.println(usage(selected));
            return ExitCode.SUCCESS;
        }
        Command command = (Command) selected.getObjects().get(0);
        return command.run(output);
    }

    /**
     * Tells whether help on a command was asked for.
     *
     * @param command the parser of the command
     * @return whether its flag for help is set
     */
    private static boolean asksForHelp(JCommander command) {
        return command.getObjects().stream()
                .anyMatch(object -> object instanceof HelpFlag flag && flag.requested);
    }

    /**
     * Returns the text for help.
     *
     * @param parser the parser
     * @return the text
     */
    private static String usage(JCommander parser) {
        StringBuilder text = new StringBuilder();
        parser.getUsageFormatter().usage(text);
        return text.toString();
    }

    /** The flag that asks for help. */
    private static final class HelpFlag {

        /** Whether help was asked for. */
        @Parameter(names = "--help", help = true, description = "Print this text")
        private boolean requested;
    }
}
