package org.damasktiller.lab.soak;

import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;
import org.apache.commons.math3.random.RandomGenerator;
import org.apache.commons.math3.random.Well19937c;
import org.damasktiller.lab.load.CallerLoad;
import org.damasktiller.lab.load.PromiseCheck;
import org.damasktiller.lab.load.SubmittedWork;
import org.damasktiller.lab.rig.EntryProcess;
import org.damasktiller.lab.rig.LabLoop;
import org.damasktiller.lab.rig.Rig;
import org.damasktiller.lab.rig.RigSettings;
import org.damasktiller.platform.emulator.CallerClient;
import org.damasktiller.scheduler.model.Manifest;
import org.damasktiller.scheduler.port.ProcessRuntime;
import org.damasktiller.standin.fleet.RunAudit;

/**
 * Runs the fault soak test for one seed. The entry VMs run in processes of their own while faults
 * drawn from the seed begin and end. The guarantees of the scheduler are checked periodically. Once
 * all faults have ended, every accepted submission has to finish or, if it is long-running, to run.
 */
public final class SoakRun {

    /** The time that the deployment runs before the first fault, in milliseconds. */
    private static final long CALM_MILLIS = 4_000;

    /** The exclusive upper bound of the time between the starts of two faults, in milliseconds. */
    private static final int LONGEST_GAP_MILLIS = 1_500;

    /** The minimum duration of a fault, in milliseconds. */
    private static final long SHORTEST_FAULT_MILLIS = 200;

    /**
     * The exclusive upper bound of the random time that is added to the minimum duration of a
     * fault, in milliseconds.
     */
    private static final int LONGEST_FAULT_MILLIS = 8_000;

    /** The interval between two checks of the guarantees, in milliseconds. */
    private static final long CHECK_MILLIS = 1_000;

    /**
     * The maximum time that accepted submissions get to finish after the phase in which faults
     * begin, in milliseconds.
     */
    private static final long FINISH_MILLIS = 90_000;

    /** The timeout of a caller's request, in milliseconds. */
    private static final long CALL_MILLIS = 3_000;

    /** The probability that a run fails, 0 to 1. */
    private static final double FAILURE_CHANCE = 0.02;

    /** The number of milliseconds in a second. */
    private static final long MILLIS_PER_SECOND = 1_000;

    /** The name of the event that an entry VM logs for an unchecked exception. */
    private static final String FAULT_EVENT = "program.fault";

    /** The settings of the run. */
    private final SoakSettings settings;

    /** The stream to which the report is printed. */
    private final PrintStream output;

    /** The event loop of the emulated services, the callers and the faults. */
    private final LabLoop loop;

    /** The clock and timers of the event loop. */
    private final ProcessRuntime runtime;

    /** The directory for the settings and logs of this seed. */
    private final Path directory;

    /**
     * The seeded random number generator, shared by the faults, the load and the emulated services.
     */
    private final RandomGenerator random;

    /** Records the runs of the workers and detects violations. */
    private final RunAudit audit = new RunAudit(SoakLoad.ATTEMPTS);

    /** The emulated services and the processes of the entry VMs. */
    private final Rig rig;

    /** Sends the submissions and tracks their states. */
    private final CallerLoad callers;

    /** Generates the submissions. */
    private final SoakLoad load;

    /** The manifest that is in force without a fault. */
    private final Manifest manifest = SoakLoad.manifest();

    /** Checks the guarantees of the scheduler. */
    private final PromiseCheck check;

    /** Generates the faults. */
    private final FaultDraw draw;

    /** The faults that have begun and not ended. */
    private final List<Fault> active = new ArrayList<>();

    /** The unchecked exceptions of scheduled actions in this process, one line each. */
    private final List<String> ownFaults = new ArrayList<>();

    /** The number of faults that have begun. */
    private int faults;

    /** The time on the monotonic clock from which no more faults begin, in milliseconds. */
    private long faultsEndMillis;

    /**
     * Creates a run with its emulated services. The processes of the entry VMs are not started yet.
     *
     * @param settings the settings of the run
     * @param output the stream to which the report is printed
     */
    public SoakRun(SoakSettings settings, PrintStream output) {
        this.settings = settings;
        this.output = output;
        this.directory = directory(settings);
        random = new Well19937c(settings.seed());
        loop = new LabLoop("soak", ownFaults::add);
        runtime = loop.runtime();
        SubmittedWork work = new SubmittedWork(random, FAILURE_CHANCE);
        RigSettings size = RigSettings.builder(directory).build();
        rig = loop.await(made -> made.complete(new Rig(loop, size, work, audit, random)));
        callers =
                new CallerLoad(
                        runtime,
                        new CallerClient(loop.eventloop(), CALL_MILLIS),
                        rig.entryVms().stream().map(EntryProcess::callers).toList(),
                        random,
                        work);
        load = new SoakLoad(runtime, random, callers);
        check = new PromiseCheck(callers, audit, work);
        draw = new FaultDraw(random, rig, manifest);
    }

    /**
     * Runs the soak, prints the report and kills the processes of the entry VMs.
     *
     * @return true if no violation and no unchecked exception was found
     */
    public boolean run() {
        List<String> found;
        try (loop) {
            found = new ArrayList<>(loop.await(this::begin));
        } finally {
            rig.kill();
        }
        found.addAll(ownFaults);
        found.addAll(faultsInLogs());
        output.printf(
                "seed %d: %d faults, %d submissions, %d violations%n",
                settings.seed(), faults, callers.items().size(), found.size());
        found.forEach(line -> output.println("  violation: " + line));
        return found.isEmpty();
    }

    /**
     * Starts the deployment and the load, and schedules the first fault and the first check.
     *
     * @param result completed with the violations at the end of the soak
     */
    private void begin(CompletableFuture<List<String>> result) {
        rig.manifest(manifest, manifest.routes());
        rig.start();
        load.run();
        faultsEndMillis =
                runtime.nowMillis() + CALM_MILLIS + settings.seconds() * MILLIS_PER_SECOND;
        runtime.schedule(CALM_MILLIS, this::nextFault);
        runtime.schedule(CHECK_MILLIS, () -> check(result));
    }

    /** Begins a fault, and schedules its end and the next fault. */
    private void nextFault() {
        if (runtime.nowMillis() >= faultsEndMillis) {
            return;
        }
        Fault fault = draw.next();
        faults++;
        active.add(fault);
        long lasts = SHORTEST_FAULT_MILLIS + random.nextInt(LONGEST_FAULT_MILLIS);
        output.printf("  %s for %d ms%n", fault.describe(), lasts);
        fault.begin();
        runtime.schedule(
                lasts,
                () -> {
                    fault.end();
                    active.remove(fault);
                });
        runtime.schedule(random.nextInt(LONGEST_GAP_MILLIS), this::nextFault);
    }

    /**
     * Checks the guarantees. Ends the soak when a violation is found, or when all faults have ended
     * and all accepted submissions have finished; otherwise schedules the next check.
     *
     * @param result completed with the violations at the end of the soak
     */
    private void check(CompletableFuture<List<String>> result) {
        List<String> found = check.violations();
        boolean calm = runtime.nowMillis() > faultsEndMillis && active.isEmpty();
        if (calm) {
            load.stop();
        }
        found.addAll(restart());
        List<String> unfinished = check.unfinished();
        boolean late = runtime.nowMillis() > faultsEndMillis + FINISH_MILLIS;
        if (late) {
            found.addAll(unfinished);
        }
        if (!found.isEmpty() || (calm && unfinished.isEmpty())) {
            result.complete(found);
            return;
        }
        runtime.schedule(CHECK_MILLIS, () -> check(result));
    }

    /**
     * Restarts the processes of the entry VMs that have ended, unless an active fault prevents it.
     *
     * @return a line for each process that ended without having been requested to
     */
    private List<String> restart() {
        List<String> found = new ArrayList<>();
        for (EntryProcess entryVm : rig.entryVms()) {
            if (entryVm.alive() || active.stream().anyMatch(fault -> fault.keepsDown(entryVm))) {
                continue;
            }
            if (!entryVm.toldToEnd()) {
                found.add(
                        entryVm.name() + ": exited unexpectedly, exit code " + entryVm.exitCode());
            }
            entryVm.start();
        }
        return found;
    }

    /**
     * Finds unchecked exceptions in the logs of the entry VMs.
     *
     * @return the first such line of each log
     */
    private List<String> faultsInLogs() {
        List<String> found = new ArrayList<>();
        for (EntryProcess entryVm : rig.entryVms()) {
            try (Stream<String> lines = Files.lines(entryVm.log())) {
                lines.filter(line -> line.contains(FAULT_EVENT)).limit(1).forEach(found::add);
            } catch (IOException exception) {
                throw new UncheckedIOException(exception);
            }
        }
        return found;
    }

    /**
     * Creates the directory for the settings and logs of a seed.
     *
     * @param settings the settings of the run
     * @return the path of the directory
     */
    private static Path directory(SoakSettings settings) {
        Path path = Path.of(settings.directory(), "seed-" + settings.seed());
        try {
            return Files.createDirectories(path);
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }
}
