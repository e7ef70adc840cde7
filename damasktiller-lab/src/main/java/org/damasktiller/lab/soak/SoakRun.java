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
import org.damasktiller.lab.load.CallerSimulator;
import org.damasktiller.lab.load.GuaranteeChecker;
import org.damasktiller.lab.load.InterruptionChecker;
import org.damasktiller.lab.load.SubmittedTaskBehaviour;
import org.damasktiller.lab.rig.EntryVmProcess;
import org.damasktiller.lab.rig.LabEventLoop;
import org.damasktiller.lab.rig.LocalDeployment;
import org.damasktiller.lab.rig.LocalDeploymentSettings;
import org.damasktiller.lab.rig.ProcessAddresses;
import org.damasktiller.platform.emulator.CallerClient;
import org.damasktiller.scheduler.model.Manifest;
import org.damasktiller.scheduler.policy.Policy;
import org.damasktiller.scheduler.policy.PolicySet;
import org.damasktiller.scheduler.port.ProcessRuntime;
import org.damasktiller.standin.fleet.RunInvariantChecker;

/**
 * Runs the fault soak test for one seed. The entry VMs run in processes of their own while faults
 * drawn from the seed begin and end. The guarantees of the scheduler are checked periodically. Once
 * all faults have ended, every accepted submission has to finish or, if it is long-running, to run.
 */
public final class SoakRun {

    /** The time that the deployment runs before the first fault, in milliseconds. */
    private static final long WARM_UP_MILLIS = 4_000;

    /** The number of entry VMs of a run with planned work only; each restart takes about 5 s. */
    private static final int PLANNED_ENTRY_VMS = 6;

    /**
     * The minimum time before planned work begins among other faults, in milliseconds; longer than
     * the regression runs of older seeds, whose faults stay the same.
     */
    private static final long MIN_PLANNED_GAP_MILLIS = 8_000;

    /** The exclusive upper bound of the random time added to this minimum, in milliseconds. */
    private static final int EXTRA_PLANNED_GAP_BOUND_MILLIS = 12_000;

    /** The minimum duration of planned work among other faults, in milliseconds. */
    private static final long MIN_PLANNED_DURATION_MILLIS = 5_000;

    /** The exclusive upper bound of the random time added to this duration, in milliseconds. */
    private static final int EXTRA_PLANNED_DURATION_BOUND_MILLIS = 15_000;

    /** Separates the generator of the tasks and the emulated services from the others of a seed. */
    private static final long SERVICE_SEED_MASK = 0x6c6c6c6c6c6c6c6cL;

    /** Separates the generator of crashing work and capacities from the others of a seed. */
    private static final long CRASH_SEED_MASK = 0x5c5c5c5c5c5c5c5cL;

    /** The interval between two checks for interrupted tasks, in milliseconds. */
    private static final long INTERRUPTION_CHECK_INTERVAL_MILLIS = 100;

    /** The interval between two checks of the guarantees, in milliseconds. */
    private static final long CHECK_INTERVAL_MILLIS = 1_000;

    /**
     * The maximum time that accepted submissions get to finish after the phase in which faults
     * begin, in milliseconds.
     */
    private static final long FINISH_TIMEOUT_MILLIS = 90_000;

    /** The timeout of a caller's request, in milliseconds. */
    private static final long CALL_TIMEOUT_MILLIS = 3_000;

    /** The probability that a run fails, 0 to 1. */
    private static final double FAILURE_PROBABILITY = 0.02;

    /** The number of seeds of which one runs without any policy. */
    private static final long SEEDS_PER_RUN_WITHOUT_POLICIES = 10;

    /** The number of milliseconds in a second. */
    private static final long MILLIS_PER_SECOND = 1_000;

    /** The name of the event that an entry VM logs for an unchecked exception. */
    private static final String EXCEPTION_EVENT = "program.fault";

    /** The settings of the run. */
    private final SoakSettings settings;

    /** The stream to which the report is printed. */
    private final PrintStream output;

    /** The event loop of the emulated services, the callers and the faults. */
    private final LabEventLoop loop;

    /** The clock and timers of the event loop. */
    private final ProcessRuntime runtime;

    /** The directory for the settings and logs of this seed. */
    private final Path directory;

    /** The random number generator of planned work, apart from those of the other faults. */
    private final RandomGenerator plannedRandom;

    /** Records the runs of the workers and detects violations. */
    private final RunInvariantChecker invariantChecker =
            new RunInvariantChecker(SoakLoad.MAX_ATTEMPTS);

    /** Evacuates zones, and detects starts there. */
    private final EvacuationSeries evacuations;

    /** The emulated services and the processes of the entry VMs. */
    private final LocalDeployment deployment;

    /** Sends the submissions and tracks their states. */
    private final CallerSimulator callers;

    /** Generates the submissions. */
    private final SoakLoad load;

    /** The manifest that is in force without a fault. */
    private final Manifest manifest = SoakLoad.createManifest();

    /** Checks the guarantees of the scheduler. */
    private final GuaranteeChecker guaranteeChecker;

    /** Checks how long long-running tasks are interrupted. */
    private final InterruptionChecker interruptionChecker;

    /** Generates the faults. */
    private final FaultGenerator faultGenerator;

    /** The faults that have begun and not ended. */
    private final List<Fault> activeFaults = new ArrayList<>();

    /** The unchecked exceptions of scheduled actions in this process, one line each. */
    private final List<String> uncheckedExceptions = new ArrayList<>();

    /** The number of faults that have begun. */
    private int faultCount;

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
        this.directory = createDirectory(settings);
        RandomGenerator loadRandom = new Well19937c(settings.seed());
        RandomGenerator serviceRandom = new Well19937c(settings.seed() ^ SERVICE_SEED_MASK);
        plannedRandom = new Well19937c(~settings.seed());
        loop = new LabEventLoop("soak", uncheckedExceptions::add);
        runtime = loop.runtime();
        evacuations =
                new EvacuationSeries(
                        runtime, settings.seed(), settings.planned(), invariantChecker);
        SubmittedTaskBehaviour taskBehaviour =
                new SubmittedTaskBehaviour(serviceRandom, FAILURE_PROBABILITY);
        deployment =
                loop.await(
                        created ->
                                created.complete(
                                        new LocalDeployment(
                                                loop,
                                                deploymentSettings(settings, directory),
                                                taskBehaviour,
                                                evacuations.checker(),
                                                serviceRandom)));
        callers =
                new CallerSimulator(
                        runtime,
                        new CallerClient(
                                loop.eventloop(), CALL_TIMEOUT_MILLIS, ProcessAddresses.host()),
                        deployment.entryVms().stream().map(EntryVmProcess::callerAddress).toList(),
                        loadRandom,
                        taskBehaviour);
        load =
                new SoakLoad(
                        runtime,
                        loadRandom,
                        callers,
                        settings.planned()
                                ? SoakLoad.PLANNED_LONG_RUNNING_PROBABILITY
                                : SoakLoad.LONG_RUNNING_PROBABILITY);
        guaranteeChecker = new GuaranteeChecker(callers, invariantChecker, taskBehaviour);
        interruptionChecker =
                new InterruptionChecker(
                        runtime, callers, invariantChecker, taskBehaviour, deployment::roomFor);
        faultGenerator = new FaultGenerator(deployment, manifest);
    }

    /**
     * Runs the soak, prints the report and kills the processes of the entry VMs.
     *
     * @return true if no violation and no unchecked exception was found
     */
    public boolean run() {
        List<String> violations;
        try {
            violations = new ArrayList<>(loop.await(this::startDeploymentAndLoad));
        } finally {
            deployment.kill();
            loop.close();
        }
        violations.addAll(uncheckedExceptions);
        violations.addAll(findExceptionsInLogs());
        output.printf(
                "seed %d: %d faults, %d submissions, %d violations%n",
                settings.seed(), faultCount, callers.submissions().size(), violations.size());
        if (settings.planned()) {
            output.printf(
                    "  %d interruptions of long-running tasks, the longest for %d ms%n",
                    interruptionChecker.count(), interruptionChecker.longestMillis());
        }
        violations.forEach(line -> output.println("  violation: " + line));
        return violations.isEmpty();
    }

    /**
     * Starts the deployment and the load, and schedules the first faults and the first checks.
     *
     * @param result completed with the violations at the end of the soak
     */
    private void startDeploymentAndLoad(CompletableFuture<List<String>> result) {
        deployment.publishManifest(manifest, manifest.routes());
        deployment.start();
        load.run();
        faultsEndMillis =
                runtime.nowMillis() + WARM_UP_MILLIS + settings.seconds() * MILLIS_PER_SECOND;
        runtime.schedule(
                WARM_UP_MILLIS,
                () -> evacuations.start(deployment, this::beginFault, faultsEndMillis));
        if (settings.planned()) {
            runtime.schedule(
                    WARM_UP_MILLIS, () -> beginPlannedWork(settings.seconds() * MILLIS_PER_SECOND));
            checkInterruptions();
        } else {
            scheduleFaults();
            runtime.schedule(WARM_UP_MILLIS + drawPlannedGap(), this::beginNextPlannedWork);
            runtime.schedule(WARM_UP_MILLIS, this::beginCrashesAndCapacityChanges);
        }
        runtime.schedule(CHECK_INTERVAL_MILLIS, () -> checkGuarantees(result));
    }

    /** Begins the work that crashes its workers, and the changes of capacities. */
    private void beginCrashesAndCapacityChanges() {
        RandomGenerator crashRandom = new Well19937c(settings.seed() ^ CRASH_SEED_MASK);
        RandomGenerator capacityRandom = new Well19937c(crashRandom.nextLong());
        load.runCrashingWork(crashRandom);
        beginFault(
                new CapacityFault(runtime, capacityRandom, deployment),
                settings.seconds() * MILLIS_PER_SECOND);
    }

    /** Prints the plan of the faults, and schedules them. */
    private void scheduleFaults() {
        List<PlannedFault> plan =
                FaultPlanner.plan(settings.seed(), settings.seconds() * MILLIS_PER_SECOND);
        for (PlannedFault planned : plan) {
            output.printf(
                    "  planned at %d ms: %s for %d ms%n",
                    planned.startMillis(),
                    faultGenerator.create(planned.seed()).describe(),
                    planned.durationMillis());
            runtime.schedule(
                    WARM_UP_MILLIS + planned.startMillis(),
                    () ->
                            beginFault(
                                    faultGenerator.create(planned.seed()),
                                    planned.durationMillis()));
        }
    }

    /** Begins planned work among other faults, and schedules its end and the next such work. */
    private void beginNextPlannedWork() {
        if (runtime.nowMillis() >= faultsEndMillis) {
            return;
        }
        long durationMillis =
                MIN_PLANNED_DURATION_MILLIS
                        + plannedRandom.nextInt(EXTRA_PLANNED_DURATION_BOUND_MILLIS);
        beginPlannedWork(durationMillis);
        runtime.schedule(durationMillis + drawPlannedGap(), this::beginNextPlannedWork);
    }

    /**
     * Begins to restart owners in series and to replace workers.
     *
     * @param durationMillis the duration of the work, in milliseconds
     */
    private void beginPlannedWork(long durationMillis) {
        RandomGenerator restartRandom = new Well19937c(plannedRandom.nextLong());
        RandomGenerator workerRandom = new Well19937c(plannedRandom.nextLong());
        beginFault(new OwnerRestartFault(runtime, restartRandom, deployment), durationMillis);
        beginFault(new WorkerReplacementFault(runtime, workerRandom, deployment), durationMillis);
    }

    /**
     * Draws the time before planned work begins.
     *
     * @return the time, in milliseconds
     */
    private long drawPlannedGap() {
        return MIN_PLANNED_GAP_MILLIS + plannedRandom.nextInt(EXTRA_PLANNED_GAP_BOUND_MILLIS);
    }

    /**
     * Begins a fault and schedules its end.
     *
     * @param fault the fault
     * @param durationMillis the duration of the fault, in milliseconds
     */
    private void beginFault(Fault fault, long durationMillis) {
        faultCount++;
        activeFaults.add(fault);
        output.printf("  %s for %d ms%n", fault.describe(), durationMillis);
        fault.begin();
        runtime.schedule(
                durationMillis,
                () -> {
                    fault.end();
                    activeFaults.remove(fault);
                });
    }

    /** Checks for tasks that are interrupted for too long, and schedules the next check. */
    private void checkInterruptions() {
        interruptionChecker.check();
        runtime.schedule(INTERRUPTION_CHECK_INTERVAL_MILLIS, this::checkInterruptions);
    }

    /**
     * Checks the guarantees. Ends the soak when a violation is found, or when all faults have ended
     * and all accepted submissions have finished; otherwise schedules the next check.
     *
     * @param result completed with the violations at the end of the soak
     */
    private void checkGuarantees(CompletableFuture<List<String>> result) {
        List<String> violations = guaranteeChecker.violations();
        violations.addAll(interruptionChecker.violations());
        violations.addAll(evacuations.checker().violations());
        boolean allFaultsEnded = runtime.nowMillis() > faultsEndMillis && activeFaults.isEmpty();
        if (allFaultsEnded) {
            load.stop();
        }
        violations.addAll(restartEndedProcesses());
        List<String> unfinished = guaranteeChecker.unfinished();
        boolean timedOut = runtime.nowMillis() > faultsEndMillis + FINISH_TIMEOUT_MILLIS;
        if (timedOut) {
            violations.addAll(unfinished);
        }
        if (!violations.isEmpty() || (allFaultsEnded && unfinished.isEmpty())) {
            result.complete(violations);
            return;
        }
        runtime.schedule(CHECK_INTERVAL_MILLIS, () -> checkGuarantees(result));
    }

    /**
     * Restarts the processes of the entry VMs that have ended, unless an active fault prevents it.
     *
     * @return a line for each process that ended without having been requested to
     */
    private List<String> restartEndedProcesses() {
        List<String> violations = new ArrayList<>();
        for (EntryVmProcess entryVm : deployment.entryVms()) {
            if (entryVm.isAlive()
                    || activeFaults.stream().anyMatch(fault -> fault.preventsRestart(entryVm))) {
                continue;
            }
            if (!entryVm.terminationRequested()) {
                violations.add(
                        entryVm.name() + ": exited unexpectedly, exit code " + entryVm.exitCode());
            }
            entryVm.start();
        }
        return violations;
    }

    /**
     * Finds unchecked exceptions in the logs of the entry VMs.
     *
     * @return the first such line of each log
     */
    private List<String> findExceptionsInLogs() {
        List<String> exceptionLines = new ArrayList<>();
        for (EntryVmProcess entryVm : deployment.entryVms()) {
            try (Stream<String> lines = Files.lines(entryVm.logFile())) {
                lines.filter(line -> line.contains(EXCEPTION_EVENT))
                        .limit(1)
                        .forEach(exceptionLines::add);
            } catch (IOException exception) {
                throw new UncheckedIOException(exception);
            }
        }
        return exceptionLines;
    }

    /**
     * Creates the settings of the deployment of a run.
     *
     * @param settings the settings of the run
     * @param directory the directory for the settings and logs of the entry VMs
     * @return the settings
     */
    private static LocalDeploymentSettings deploymentSettings(
            SoakSettings settings, Path directory) {
        LocalDeploymentSettings.Builder builder =
                LocalDeploymentSettings.builder(directory).policies(policiesOf(settings.seed()));
        if (settings.planned()) {
            builder.entryVms(PLANNED_ENTRY_VMS);
        }
        return builder.build();
    }

    /**
     * Chooses the policies of a run: all of them with even seeds, no policy with one odd seed in
     * {@link #SEEDS_PER_RUN_WITHOUT_POLICIES}, and all but one with the others.
     *
     * @param seed the seed of the run
     * @return the policies that are in force
     */
    private static PolicySet policiesOf(long seed) {
        if (Math.floorMod(seed, 2) == 0) {
            return PolicySet.ALL;
        }
        if (Math.floorMod(seed, SEEDS_PER_RUN_WITHOUT_POLICIES) == 1) {
            return PolicySet.NONE;
        }
        Policy[] policies = Policy.values();
        return PolicySet.without(
                List.of(policies[(int) Math.floorMod(seed / 2, (long) policies.length)]));
    }

    /**
     * Creates the directory for the settings and logs of a seed.
     *
     * @param settings the settings of the run
     * @return the path of the directory
     */
    private static Path createDirectory(SoakSettings settings) {
        Path path = Path.of(settings.directory(), "seed-" + settings.seed());
        try {
            return Files.createDirectories(path);
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }
}
