package org.damasktiller.lab.local;

import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.apache.commons.math3.random.RandomGenerator;
import org.apache.commons.math3.random.Well19937c;
import org.damasktiller.lab.load.CallerSimulator;
import org.damasktiller.lab.load.GuaranteeChecker;
import org.damasktiller.lab.load.SubmittedTaskBehaviour;
import org.damasktiller.lab.load.TrackedSubmission;
import org.damasktiller.lab.rig.Deployment;
import org.damasktiller.lab.rig.EntryVmProcess;
import org.damasktiller.lab.rig.LabEventLoop;
import org.damasktiller.lab.rig.LocalDeployment;
import org.damasktiller.lab.rig.LocalDeploymentSettings;
import org.damasktiller.lab.rig.ProcessAddresses;
import org.damasktiller.lab.table.TableManifestFactory;
import org.damasktiller.platform.emulator.CallerClient;
import org.damasktiller.scheduler.model.Manifest;
import org.damasktiller.scheduler.model.Resources;
import org.damasktiller.scheduler.model.Route;
import org.damasktiller.scheduler.model.StepSpec;
import org.damasktiller.scheduler.model.Submission;
import org.damasktiller.scheduler.model.SubmissionState;
import org.damasktiller.scheduler.policy.PolicySet;
import org.damasktiller.standin.fleet.RunInvariantChecker;
import org.damasktiller.table.KindOfWork;
import org.damasktiller.table.OperatorTable;

/**
 * Runs a deployment on the local machine under a short load that is generated from the rows of an
 * operators' table. Halfway through the load it publishes a newer manifest and drains an entry VM.
 * At the end it verifies that every accepted submission has finished and that the scheduler's
 * guarantees held.
 */
public final class LocalRun {

    /** The number of submissions that are sent for each row. */
    private static final int SUBMISSIONS_PER_ROW = 20;

    /** The maximum estimated duration of a task of the load, in milliseconds. */
    private static final long MAX_TASK_MILLIS = 300;

    /** The timeout of a caller's request, in milliseconds. */
    private static final long CALL_TIMEOUT_MILLIS = 5_000;

    /** The interval between two lines of progress, in milliseconds. */
    private static final long PROGRESS_INTERVAL_MILLIS = 1_000;

    /**
     * The maximum time that unfinished submissions get after the load has ended, in milliseconds.
     */
    private static final long FINISH_TIMEOUT_MILLIS = 60_000;

    /** The number of milliseconds in a second. */
    private static final long MILLIS_PER_SECOND = 1_000;

    /** The deployment whose zones and workers are run. */
    private final Deployment deployment;

    /** The table from whose rows the manifest and the load are generated. */
    private final OperatorTable table;

    /** The duration of the load, in milliseconds. */
    private final long loadMillis;

    /** The stream to which progress and results are printed. */
    private final PrintStream output;

    /** The event loop of the emulated services and the callers. */
    private final LabEventLoop loop;

    /** Records the runs of the workers and detects violations. */
    private final RunInvariantChecker invariantChecker =
            new RunInvariantChecker(TableManifestFactory.MAXIMUM_ATTEMPTS);

    /** The submissions that callers have sent; determines the behaviour of their tasks. */
    private final SubmittedTaskBehaviour taskBehaviour;

    /** The emulated services and the processes of the entry VMs. */
    private final LocalDeployment localDeployment;

    /** Sends the submissions and tracks their states. */
    private final CallerSimulator callers;

    /**
     * Creates a run with its emulated services. The processes of the entry VMs are not started yet.
     *
     * @param deployment the deployment whose zones and workers are run
     * @param table the table from whose rows the manifest and the load are generated
     * @param entryVms the number of entry VMs
     * @param seconds the duration of the load, in seconds
     * @param policies the policies that are in force
     * @param output the stream to which progress and results are printed
     */
    public LocalRun(
            Deployment deployment,
            OperatorTable table,
            int entryVms,
            long seconds,
            PolicySet policies,
            PrintStream output) {
        this.deployment = deployment;
        this.table = table;
        this.loadMillis = seconds * MILLIS_PER_SECOND;
        this.output = output;
        RandomGenerator random = new Well19937c(1);
        taskBehaviour = new SubmittedTaskBehaviour(random, 0);
        loop = new LabEventLoop("local", output::println);
        LocalDeploymentSettings settings =
                LocalDeploymentSettings.builder(createTemporaryDirectory())
                        .zones(deployment.zoneNames())
                        .entryVms(entryVms)
                        .workers(deployment.workers())
                        .capacity(deployment.capacity())
                        .policies(policies)
                        .build();
        localDeployment =
                loop.await(
                        created ->
                                created.complete(
                                        new LocalDeployment(
                                                loop,
                                                settings,
                                                taskBehaviour,
                                                invariantChecker,
                                                random)));
        callers =
                new CallerSimulator(
                        loop.runtime(),
                        new CallerClient(
                                loop.eventloop(), CALL_TIMEOUT_MILLIS, ProcessAddresses.host()),
                        localDeployment.entryVms().stream()
                                .map(EntryVmProcess::callerAddress)
                                .toList(),
                        random,
                        taskBehaviour);
    }

    /**
     * Runs the load, prints the results and kills the processes of the entry VMs.
     *
     * @return true if every submission reached a final state in time and no violation was found
     */
    public boolean run() {
        try {
            output.println(
                    deployment.workers()
                            + " workers, entry VMs at "
                            + localDeployment.entryVms().stream()
                                    .map(EntryVmProcess::callerAddress)
                                    .toList());
            boolean finished = loop.await(this::startDeploymentAndLoad);
            return report(finished);
        } finally {
            localDeployment.kill();
            loop.close();
        }
    }

    /**
     * Starts the deployment and schedules the load, the changes halfway through it and the reports
     * of progress.
     *
     * @param finished completed with true once all submissions are settled, with false after the
     *     timeout
     */
    private void startDeploymentAndLoad(CompletableFuture<Boolean> finished) {
        Manifest manifest = TableManifestFactory.create(table, LocalDeployment.SERVICE, 1);
        localDeployment.publishManifest(manifest, manifest.routes());
        localDeployment.start();
        List<KindOfWork> rows = table.rows();
        for (int row = 0; row < rows.size(); row++) {
            for (int index = 0; index < SUBMISSIONS_PER_ROW; index++) {
                Route route = manifest.routes().get(row);
                Submission submission = createSubmission(rows.get(row));
                loop.runtime()
                        .schedule(
                                loadMillis * index / SUBMISSIONS_PER_ROW,
                                () -> callers.send(route, submission));
            }
        }
        loop.runtime().schedule(loadMillis / 2, this::publishManifestAndDrain);
        awaitFinish(finished, loop.runtime().nowMillis());
    }

    /** Publishes a newer manifest and drains the last entry VM. */
    private void publishManifestAndDrain() {
        Manifest manifest = TableManifestFactory.create(table, LocalDeployment.SERVICE, 2);
        localDeployment.publishManifest(manifest, manifest.routes());
        EntryVmProcess last = localDeployment.entryVms().get(localDeployment.entryVms().size() - 1);
        output.println("manifest version 2 is in the store; draining " + last.name());
        last.sendSignal("TERM");
    }

    /**
     * Prints the progress repeatedly until all submissions are settled or the time is up.
     *
     * @param finished completed with true once all submissions are settled, with false after the
     *     timeout
     * @param beganMillis when the load began on the monotonic clock, in milliseconds
     */
    private void awaitFinish(CompletableFuture<Boolean> finished, long beganMillis) {
        long openCount =
                callers.submissions().stream()
                        .filter(trackedSubmission -> !trackedSubmission.isSettled())
                        .count();
        output.println("sent " + callers.submissions().size() + ", open " + openCount);
        long elapsedMillis = loop.runtime().nowMillis() - beganMillis;
        boolean allSent = callers.submissions().size() == table.rows().size() * SUBMISSIONS_PER_ROW;
        if ((allSent && openCount == 0) || elapsedMillis > loadMillis + FINISH_TIMEOUT_MILLIS) {
            finished.complete(allSent && openCount == 0);
            return;
        }
        loop.runtime().schedule(PROGRESS_INTERVAL_MILLIS, () -> awaitFinish(finished, beganMillis));
    }

    /**
     * Prints the results of each row and the violations of the scheduler's guarantees.
     *
     * @param finished whether all submissions were settled in time
     * @return true if all submissions were settled and no violation was found
     */
    private boolean report(boolean finished) {
        output.printf("%-20s %8s %9s %8s%n", "kind", "accepted", "succeeded", "refused");
        for (KindOfWork row : table.rows()) {
            String kind = row.name().value();
            List<TrackedSubmission> items =
                    callers.submissions().stream()
                            .filter(
                                    trackedSubmission ->
                                            trackedSubmission.route().name().equals(kind))
                            .toList();
            output.printf(
                    "%-20s %8d %9d %8d%n",
                    kind,
                    items.stream().filter(TrackedSubmission::isAccepted).count(),
                    items.stream()
                            .filter(
                                    trackedSubmission ->
                                            trackedSubmission.state() == SubmissionState.SUCCEEDED)
                            .count(),
                    items.stream().filter(TrackedSubmission::isRefused).count());
        }
        GuaranteeChecker guaranteeChecker =
                new GuaranteeChecker(callers, invariantChecker, taskBehaviour);
        List<String> violations =
                loop.await(
                        result -> {
                            List<String> lines = new ArrayList<>(guaranteeChecker.violations());
                            lines.addAll(guaranteeChecker.unfinished());
                            result.complete(lines);
                        });
        violations.forEach(line -> output.println("violation: " + line));
        output.println("violations: " + violations.size());
        return finished && violations.isEmpty();
    }

    /**
     * Creates a submission with a single task that needs the resources declared in the row.
     *
     * @param row the row of the table
     * @return the submission
     */
    private Submission createSubmission(KindOfWork row) {
        Resources need =
                new Resources(
                        row.declaredResources().milliProcessors(),
                        row.declaredResources().memoryMegabytes(),
                        row.declaredResources().accelerators());
        StepSpec step =
                StepSpec.builder(1, need)
                        .estimateMillis(Math.max(1, Math.min(row.runTimeMillis(), MAX_TASK_MILLIS)))
                        .build();
        return new Submission(callers.nextId(), row.name().value(), List.of(step), 0, 0, 0);
    }

    /**
     * Creates a directory for the settings and logs of the entry VMs.
     *
     * @return the path of the directory
     */
    private static Path createTemporaryDirectory() {
        try {
            return Files.createTempDirectory("damasktiller-local");
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }
}
