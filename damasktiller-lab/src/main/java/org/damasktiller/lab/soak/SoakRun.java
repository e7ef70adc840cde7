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
import org.damasktiller.standin.fleet.RunInvariantChecker;

/**
 * One soak: the programs of the entry VMs run as processes while faults of a seeded plan begin and
 * end, the promises are checked all the while, and once the faults are over all accepted work has
 * to finish.
 */
public final class SoakRun {

    /** How long the deployment runs before the first fault, in milliseconds. */
    private static final long CALM_MILLIS = 4_000;

    /** The longest time between two faults, in milliseconds. */
    private static final int LONGEST_GAP_MILLIS = 1_500;

    /** The shortest fault, in milliseconds. */
    private static final long SHORTEST_FAULT_MILLIS = 200;

    /** The longest fault, in milliseconds. */
    private static final int LONGEST_FAULT_MILLIS = 8_000;

    /** The time between two checks, in milliseconds. */
    private static final long CHECK_MILLIS = 1_000;

    /** How long work may take to finish once the faults are over, in milliseconds. */
    private static final long FINISH_MILLIS = 90_000;

    /** How long a caller waits for an answer, in milliseconds. */
    private static final long CALL_MILLIS = 3_000;

    /** The chance that a run fails. */
    private static final double FAILURE_CHANCE = 0.02;

    /** The number of milliseconds in a second. */
    private static final long MILLIS_PER_SECOND = 1_000;

    /** What an entry VM logs at an unchecked error. */
    private static final String FAULT_EVENT = "program.fault";

    /** What to do. */
    private final SoakSettings settings;

    /** Where the report goes. */
    private final PrintStream output;

    /** The loop. */
    private final LabLoop loop;

    /** The clock and the timers. */
    private final ProcessRuntime runtime;

    /** Where the settings and logs of this seed go. */
    private final Path directory;

    /** Draws the faults and the load. */
    private final RandomGenerator random;

    /** What the workers ran. */
    private final RunInvariantChecker audit = new RunInvariantChecker(SoakLoad.ATTEMPTS);

    /** The deployment. */
    private final Rig rig;

    /** The callers. */
    private final CallerLoad callers;

    /** The load. */
    private final SoakLoad load;

    /** The manifest without added routes. */
    private final Manifest manifest = SoakLoad.manifest();

    /** The check of the promises. */
    private final PromiseCheck check;

    /** Draws the faults. */
    private final FaultDraw draw;

    /** The active faults. */
    private final List<Fault> active = new ArrayList<>();

    /** Unchecked errors of this program. */
    private final List<String> ownFaults = new ArrayList<>();

    /** The number of faults so far. */
    private int faults;

    /** When faults end, in milliseconds. */
    private long faultsEndMillis;

    /**
     * Creates a soak.
     *
     * @param settings what to do
     * @param output where the report goes
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
     * Runs.
     *
     * @return whether every promise was kept
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
     * Starts the deployment, the load and the faults.
     *
     * @param result takes the violations
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

    /** Begins a fault, and plans its end and the next fault. */
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
     * Checks the promises; ends the soak at the first violation, or when all work has finished.
     *
     * @param result takes the violations
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
     * Starts the programs that have ended and that no fault keeps down.
     *
     * @return a line for each that had not been told to end
     */
    private List<String> restart() {
        List<String> found = new ArrayList<>();
        for (EntryProcess entryVm : rig.entryVms()) {
            if (entryVm.alive() || active.stream().anyMatch(fault -> fault.keepsDown(entryVm))) {
                continue;
            }
            if (!entryVm.toldToEnd()) {
                found.add(entryVm.name() + ": ended by itself, exit code " + entryVm.exitCode());
            }
            entryVm.start();
        }
        return found;
    }

    /**
     * Finds unchecked errors in the logs of the entry VMs.
     *
     * @return their lines
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
     * Makes the directory of a seed.
     *
     * @param settings what to do
     * @return its path
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
