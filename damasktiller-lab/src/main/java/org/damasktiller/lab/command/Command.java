package org.damasktiller.lab.command;

import java.io.PrintStream;

/** One command of the command line; its settings are JCommander's annotated fields. */
public interface Command {

    /**
     * Returns the word that selects the command.
     *
     * @return the word
     */
    String name();

    /**
     * Runs the command.
     *
     * @param output where results go
     * @return the exit code
     * @throws org.damasktiller.error.DamasktillerException if the command fails
     */
    ExitCode run(PrintStream output);
}
