package org.damasktiller.lab.rig;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.damasktiller.node.process.Main;
import org.damasktiller.platform.emulator.PlatformRecordEncoder;
import org.damasktiller.scheduler.policy.PolicySet;
import org.jspecify.annotations.Nullable;

/** Starts, signals and restarts the process that runs the program of one entry VM. */
public final class EntryVmProcess {

    /**
     * The JVM options, identical to those in the deployment file {@code deploy/system.toml} but for
     * the class data archive and the heap.
     */
    private static final List<String> JAVA_OPTIONS =
            List.of(
                    "-Xss256k",
                    "-XX:+UseSerialGC",
                    "-XX:TieredStopAtLevel=1",
                    "-XX:+ExitOnOutOfMemoryError");

    /** The signals that terminate the process. */
    private static final Set<String> TERMINATING_SIGNALS = Set.of("KILL", "TERM");

    /** The name of the entry VM. */
    private final String name;

    /** The file from which the program reads its settings. */
    private final Path settingsFile;

    /** The policies that are in force. */
    private final PolicySet policies;

    /** The memory and the descriptors of the process. */
    private final ProcessLimits limits;

    /** The address on which the program listens for readiness checks. */
    private final InetSocketAddress readinessAddress;

    /** The file to which the standard output and error of the process are appended. */
    private final Path logFile;

    /** The address on which the program listens for callers. */
    private final InetSocketAddress callerAddress;

    /** The process that was started last, null before the first start. */
    private @Nullable Process process;

    /** Whether the process was requested to terminate since its last start. */
    private boolean terminationRequested;

    /**
     * Writes the settings file of an entry VM. The process is not started yet.
     *
     * @param name the name of the entry VM
     * @param zone the availability zone of the entry VM
     * @param zones the regions by availability zone
     * @param store the address at which the program connects to the store
     * @param policies the policies that are in force
     * @param limits the memory and the descriptors of the process
     * @param directory the existing directory for the settings and the log
     */
    public EntryVmProcess(
            String name,
            String zone,
            Map<String, String> zones,
            InetSocketAddress store,
            PolicySet policies,
            ProcessLimits limits,
            Path directory) {
        this.name = name;
        this.policies = policies;
        this.limits = limits;
        this.callerAddress = ProcessAddresses.next();
        this.readinessAddress = ProcessAddresses.next();
        this.settingsFile = directory.resolve(name + ".conf");
        this.logFile = directory.resolve(name + ".log");
        List<String> lines = new ArrayList<>();
        lines.add(PlatformRecordEncoder.descriptorsLine(limits.maximumDescriptors()));
        lines.addAll(
                PlatformRecordEncoder.settingsLines(
                        name,
                        zone,
                        zones,
                        callerAddress,
                        readinessAddress,
                        ProcessAddresses.next(),
                        store));
        try {
            Files.write(settingsFile, lines);
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    /**
     * Returns the name of the entry VM.
     *
     * @return the name
     */
    public String name() {
        return name;
    }

    /**
     * Returns the address on which the program listens for callers.
     *
     * @return the loopback address
     */
    public InetSocketAddress callerAddress() {
        return callerAddress;
    }

    /**
     * Returns the address on which the program listens for readiness checks.
     *
     * @return the loopback address
     */
    public InetSocketAddress readinessAddress() {
        return readinessAddress;
    }

    /**
     * Returns the identifier of the process that was started last.
     *
     * @return the identifier
     * @throws IllegalStateException if no process was started
     */
    public long processId() {
        Process current = process;
        if (current == null) {
            throw new IllegalStateException(name + " was not started");
        }
        return current.pid();
    }

    /**
     * Returns the file to which the standard output and error of the process are appended.
     *
     * @return the path
     */
    public Path logFile() {
        return logFile;
    }

    /** Starts a new process with the settings of the entry VM. */
    public void start() {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(JAVA_OPTIONS);
        command.add("-Xmx" + limits.heapMegabytes() + "m");
        command.addAll(
                List.of(
                        "-cp",
                        System.getProperty("java.class.path"),
                        Main.class.getName(),
                        "--settings",
                        settingsFile.toString()));
        if (!policies.disabled().isEmpty()) {
            command.addAll(List.of("--without", policies.toString()));
        }
        ProcessBuilder builder =
                new ProcessBuilder(command)
                        .redirectErrorStream(true)
                        .redirectOutput(ProcessBuilder.Redirect.appendTo(logFile.toFile()));
        terminationRequested = false;
        try {
            process = builder.start();
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    /**
     * Returns whether the process is running.
     *
     * @return true if it is, false if it was never started or has ended
     */
    public boolean isAlive() {
        Process current = process;
        return current != null && current.isAlive();
    }

    /**
     * Returns the exit code of the process.
     *
     * @return the exit code, or -1 if the process is running or was never started
     */
    public int exitCode() {
        Process current = process;
        return current == null || current.isAlive() ? -1 : current.exitValue();
    }

    /**
     * Returns whether the process was requested to terminate since its last start. If it was not,
     * its end is a failure of the program.
     *
     * @return true if it was killed or sent a terminating signal
     */
    public boolean terminationRequested() {
        return terminationRequested;
    }

    /**
     * Sends a signal to the process. Has no effect if the process is not running.
     *
     * @param signal the name of the signal without the prefix SIG, such as {@code TERM}
     */
    public void sendSignal(String signal) {
        Process current = process;
        if (current == null || !current.isAlive()) {
            return;
        }
        terminationRequested |= TERMINATING_SIGNALS.contains(signal);
        try {
            new ProcessBuilder("kill", "-" + signal, Long.toString(current.pid())).start();
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    /** Kills the process and waits for its end. Has no effect if it was never started. */
    public void kill() {
        Process current = process;
        if (current != null) {
            terminationRequested = true;
            current.destroyForcibly().onExit().join();
        }
    }
}
