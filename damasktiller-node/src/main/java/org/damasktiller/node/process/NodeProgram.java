package org.damasktiller.node.process;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import java.nio.file.Path;
import org.damasktiller.error.DamasktillerException;
import org.damasktiller.platform.exit.FatalExit;
import org.damasktiller.platform.settings.SettingsReader;

/** Parses the command line of an entry VM, reads the settings and runs the process. */
final class NodeProgram {

    /** The exit code for an invalid command line. */
    private static final int EXIT_INVALID_COMMAND_LINE = 2;

    /** The exit code for settings that are invalid, or an address that can't be listened on. */
    private static final int EXIT_INVALID_SETTINGS = 3;

    /** Prevents instantiation. */
    private NodeProgram() {}

    /**
     * Runs the process until it is stopped by a signal.
     *
     * @param arguments the command-line arguments
     * @param hangup SIGHUP, which may have arrived before
     */
    static void run(String[] arguments, PendingSignal hangup) {
        Thread.setDefaultUncaughtExceptionHandler(FatalExit.halting());
        Options options = new Options();
        JCommander parser =
                JCommander.newBuilder().programName("damasktiller-node").addObject(options).build();
        try {
            parser.parse(arguments);
            options.validate();
        } catch (ParameterException exception) {
            System.err.println(exception.getMessage());
            parser.usage();
            System.exit(EXIT_INVALID_COMMAND_LINE);
        }
        if (options.help) {
            parser.usage();
            return;
        }
        Path path = Path.of(options.settings);
        try {
            new NodeProcess(path, SettingsReader.read(path), options).run(hangup);
        } catch (DamasktillerException exception) {
            System.err.println(exception.code() + ": " + exception.getMessage());
            System.exit(EXIT_INVALID_SETTINGS);
        }
    }
}
