package org.damasktiller.lab.rig;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.damasktiller.node.process.Main;
import org.damasktiller.platform.emulator.PlatformRecordEncoder;
import org.jspecify.annotations.Nullable;

/** The program of one entry VM, run as a process of its own. */
public final class EntryProcess {

    /** The options of the Java machine, the same as in the deploy file. */
    private static final List<String> JAVA_OPTIONS =
            List.of("-Xmx128m", "-Xss256k", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1");

    /** The signals that tell a program to end. */
    private static final Set<String> ENDING = Set.of("KILL", "TERM");

    /** The name of the VM. */
    private final String name;

    /** The settings file. */
    private final Path settings;

    /** Where the process writes its log. */
    private final Path log;

    /** Where it listens for callers. */
    private final InetSocketAddress callers;

    /** The process, null before the first start. */
    private @Nullable Process process;

    /** Whether the program was told to end. */
    private boolean toldToEnd;

    /**
     * Creates a VM whose program is not started yet.
     *
     * @param name its name
     * @param zone its availability zone
     * @param zones the region of each availability zone
     * @param store the address of the store
     * @param directory where settings and logs go
     */
    public EntryProcess(
            String name,
            String zone,
            Map<String, String> zones,
            InetSocketAddress store,
            Path directory) {
        this.name = name;
        this.callers = freeAddress();
        this.settings = directory.resolve(name + ".conf");
        this.log = directory.resolve(name + ".log");
        List<String> lines =
                PlatformRecordEncoder.settingsLines(
                        name, zone, zones, callers, freeAddress(), store);
        try {
            Files.write(settings, lines);
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    /**
     * Returns the name of the VM.
     *
     * @return the name
     */
    public String name() {
        return name;
    }

    /**
     * Returns where it listens for callers.
     *
     * @return the address
     */
    public InetSocketAddress callers() {
        return callers;
    }

    /**
     * Returns where the program writes its log.
     *
     * @return the path
     */
    public Path log() {
        return log;
    }

    /** Starts the program. */
    public void start() {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(JAVA_OPTIONS);
        command.addAll(
                List.of(
                        "-cp",
                        System.getProperty("java.class.path"),
                        Main.class.getName(),
                        "--settings",
                        settings.toString()));
        ProcessBuilder builder =
                new ProcessBuilder(command)
                        .redirectErrorStream(true)
                        .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        toldToEnd = false;
        try {
            process = builder.start();
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    /**
     * Tells whether the program runs.
     *
     * @return whether it does
     */
    public boolean alive() {
        Process present = process;
        return present != null && present.isAlive();
    }

    /**
     * Returns how the program ended.
     *
     * @return the exit code, or -1 if it has not ended
     */
    public int exitCode() {
        Process present = process;
        return present == null || present.isAlive() ? -1 : present.exitValue();
    }

    /**
     * Tells whether the program was told to end, so that its end is no fault of its own.
     *
     * @return whether it was
     */
    public boolean toldToEnd() {
        return toldToEnd;
    }

    /**
     * Sends a signal to the program.
     *
     * @param signal the name of the signal
     */
    public void signal(String signal) {
        Process present = process;
        if (present == null || !present.isAlive()) {
            return;
        }
        toldToEnd |= ENDING.contains(signal);
        try {
            new ProcessBuilder("kill", "-" + signal, Long.toString(present.pid())).start();
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    /** Kills the program. */
    public void kill() {
        Process present = process;
        if (present != null) {
            toldToEnd = true;
            present.destroyForcibly();
        }
    }

    /**
     * Finds a port that is free now.
     *
     * @return its address
     */
    private static InetSocketAddress freeAddress() {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return new InetSocketAddress(InetAddress.getLoopbackAddress(), socket.getLocalPort());
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }
}
