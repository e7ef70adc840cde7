package org.damasktiller.lab.command;

import java.io.PrintStream;

/**
 * A command of the {@code damasktiller} program. JCommander reads its settings into the fields that
 * are annotated with {@link com.beust.jcommander.Parameter}.
 */
public interface Command {

    /**
     * Returns the name that selects this command as the first argument.
     *
     * @return the name
     */
    String name();

    /**
     * Runs the command after its settings were read.
     *
     * @param output the stream for results
     * @return the exit code of the process
     * @throws org.damasktiller.error.DamasktillerException if the command fails
     */
    ExitCode run(PrintStream output);
}
