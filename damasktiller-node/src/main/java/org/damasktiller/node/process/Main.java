package org.damasktiller.node.process;

/**
 * The main class of an entry VM: takes SIGHUP, which would end the process, and then runs the
 * program. Nothing else is loaded before the handler is installed.
 */
public final class Main {

    /** Prevents instantiation. */
    private Main() {}

    /**
     * Runs the process until it is stopped by a signal.
     *
     * @param arguments the command-line arguments
     */
    public static void main(String[] arguments) {
        PendingSignal hangup = new PendingSignal();
        ProcessSignals.handle("HUP", hangup);
        NodeProgram.run(arguments, hangup);
    }
}
