package org.damasktiller.lab.command;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import java.io.PrintStream;
import java.util.List;
import java.util.Map;
import org.damasktiller.error.DamasktillerException;
import org.damasktiller.lab.settings.Settings;

/**
 * Parses the arguments of the {@code damasktiller} program and runs the command that the first one
 * names. A setting that is not given as a flag is read from its environment variable.
 */
public final class CommandLine {

    /** The name of the program in messages and help texts. */
    private static final String PROGRAM_NAME = "damasktiller";

    /** The available commands. */
    private final List<Command> commands;

    /** The environment variables. */
    private final Map<String, String> environment;

    /** The stream for results and requested help. */
    private final PrintStream output;

    /** The stream for errors. */
    private final PrintStream errors;

    /**
     * Creates a command line with a set of commands.
     *
     * @param commands the available commands
     * @param environment the environment variables, by name
     * @param output the stream for results and requested help
     * @param errors the stream for errors
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
     * Parses the arguments and runs the selected command. Errors are printed to the error stream
     * and are not thrown.
     *
     * @param arguments the arguments of the program
     * @return the exit code of the process
     */
    public ExitCode run(String[] arguments) {
        HelpFlag help = new HelpFlag();
        JCommander parser = createParser(help);
        try {
            parser.parse(arguments);
            return dispatch(parser, help);
        } catch (ParameterException exception) {
            errors.println(PROGRAM_NAME + ": " + exception.getMessage() + "; see --help");
            return ExitCode.USAGE;
        } catch (DamasktillerException failure) {
            errors.println(
                    PROGRAM_NAME
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
     * Creates the parser for all commands.
     *
     * @param help receives the help flag of the program
     * @return the parser
     */
    private JCommander createParser(HelpFlag help) {
        JCommander.Builder builder =
                JCommander.newBuilder()
                        .programName(PROGRAM_NAME)
                        .addObject(help)
                        .defaultProvider(
                                flag -> environment.get(Settings.environmentVariableOf(flag)));
        commands.forEach(
                command -> builder.addCommand(command.name(), List.of(command, new HelpFlag())));
        return builder.build();
    }

    /**
     * Runs the selected command, or prints help if it is requested or no command is selected.
     *
     * @param parser the parser, which has parsed the arguments
     * @param help the help flag of the program
     * @return the exit code of the process
     */
    private ExitCode dispatch(JCommander parser, HelpFlag help) {
        JCommander selected = parser.getCommands().get(parser.getParsedCommand());
        if (help.requested || selected == null) {
            (help.requested ? output : errors).println(formatUsage(parser));
            return help.requested ? ExitCode.SUCCESS : ExitCode.USAGE;
        }
        if (isHelpRequested(selected)) {
            output.println(formatUsage(selected));
            return ExitCode.SUCCESS;
        }
        Command command = (Command) selected.getObjects().get(0);
        return command.run(output);
    }

    /**
     * Returns whether help on a command is requested.
     *
     * @param command the parser of the command
     * @return whether the help flag of the command is set
     */
    private static boolean isHelpRequested(JCommander command) {
        return command.getObjects().stream()
                .anyMatch(object -> object instanceof HelpFlag flag && flag.requested);
    }

    /**
     * Formats the help text of the program or of a command.
     *
     * @param parser the parser of the program or of the command
     * @return the help text
     */
    private static String formatUsage(JCommander parser) {
        StringBuilder text = new StringBuilder();
        parser.getUsageFormatter().usage(text);
        return text.toString();
    }

    /** The {@code --help} flag of the program or of one command. */
    private static final class HelpFlag {

        /** Whether the flag is set. */
        @Parameter(names = "--help", help = true, description = "Print this help text")
        private boolean requested;
    }
}
