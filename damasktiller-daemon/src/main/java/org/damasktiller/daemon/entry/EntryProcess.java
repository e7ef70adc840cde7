package org.damasktiller.daemon.entry;

import java.lang.System.Logger;
import org.damasktiller.daemon.command.ExitCode;
import org.damasktiller.daemon.settings.EntrySettings;

/** Runs an entry VM as a process: the signal to terminate drains it. */
public final class EntryProcess {

    /** The log. */
    private static final Logger LOGGER = System.getLogger(EntryProcess.class.getName());

    /** Prevents instantiation. */
    private EntryProcess() {}

    /**
     * Runs an entry VM until it has drained.
     *
     * @param settings the checked settings
     * @return whether it ended with no request cut off
     */
    public static boolean run(EntrySettings settings) {
        EntryNode node = EntryNode.start(settings);
        Thread drain = new Thread(() -> drain(node), "drain");
        Runtime.getRuntime().addShutdownHook(drain);
        return node.awaitEnd();
    }

    /**
     * Drains the VM before the process ends, and ends it with an exit code of its own in place of
     * the signal's.
     *
     * @param node the entry VM
     */
    private static void drain(EntryNode node) {
        boolean clean = node.drain().join();
        LOGGER.log(Logger.Level.INFO, "drained; requests cut off: {0}", clean ? "none" : "some");
        ExitCode code = clean ? ExitCode.SUCCESS : ExitCode.FAILURE;
        Runtime.getRuntime().halt(code.number());
    }
}
