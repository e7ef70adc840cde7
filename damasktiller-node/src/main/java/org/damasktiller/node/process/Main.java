package org.damasktiller.node.process;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import java.nio.file.Path;
import org.damasktiller.error.DamasktillerException;
import org.damasktiller.platform.settings.SettingsReader;

/** The program of an entry VM. */
public final class Main {

    /** The exit code of a command line that can't be understood. */
    private static final int BAD_COMMAND_LINE = 2;

    /** The exit code of settings that can't be used. */
    private static final int BAD_SETTINGS = 3;

    /** Prevents instantiation. */
    private Main() {}

    /**
     * Runs the program.
     *
     * @param arguments the command line
     */
    public static void main(String[] arguments) {
        Options options = new Options();
        JCommander parser =
                JCommander.newBuilder().programName("damasktiller-node").addObject(options).build();
        try {
            parser.parse(arguments);
        } catch (ParameterException exception) {
            System.err.println(exception.getMessage());
            parser.usage();
            System.exit(BAD_COMMAND_LINE);
        }
        if (options.help) {
            parser.usage();
            return;
        }
        Path path = Path.of(options.settings);
        try {
            new NodeProcess(path, SettingsReader.read(path)).run();
        } catch (DamasktillerException exception) {
            System.err.println(exception.code() + ": " + exception.getMessage());
            System.exit(BAD_SETTINGS);
        }
    }
}
