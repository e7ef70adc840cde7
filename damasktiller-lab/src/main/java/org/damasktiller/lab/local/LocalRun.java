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
import org.damasktiller.lab.load.CallerLoad;
import org.damasktiller.lab.load.PromiseCheck;
import org.damasktiller.lab.load.SubmittedWork;
import org.damasktiller.lab.load.WorkItem;
import org.damasktiller.lab.rig.Deployment;
import org.damasktiller.lab.rig.EntryProcess;
import org.damasktiller.lab.rig.LabLoop;
import org.damasktiller.lab.rig.Rig;
import org.damasktiller.lab.rig.RigSettings;
import org.damasktiller.lab.table.TableManifest;
import org.damasktiller.platform.emulator.CallerClient;
import org.damasktiller.scheduler.model.Manifest;
import org.damasktiller.scheduler.model.Resources;
import org.damasktiller.scheduler.model.Route;
import org.damasktiller.scheduler.model.StepSpec;
import org.damasktiller.scheduler.model.Submission;
import org.damasktiller.scheduler.model.SubmissionState;
import org.damasktiller.standin.fleet.RunAudit;
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
    private static final int PER_ROW = 20;

    /** The maximum estimated duration of a task of the load, in milliseconds. */
    private static final long LONGEST_TASK_MILLIS = 300;

    /** The timeout of a caller's request, in milliseconds. */
    private static final long CALL_MILLIS = 5_000;

    /** The interval between two lines of progress, in milliseconds. */
    private static final long PROGRESS_MILLIS = 1_000;

    /**
     * The maximum time that unfinished submissions get after the load has ended, in milliseconds.
     */
    private static final long FINISH_MILLIS = 60_000;

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
    private final LabLoop loop;

    /** Records the runs of the workers and detects violations. */
    private final RunAudit audit = new RunAudit(TableManifest.ATTEMPTS);

    /** The submissions that callers have sent; determines the behaviour of their tasks. */
    private final SubmittedWork work;

    /** The emulated services and the processes of the entry VMs. */
    private final Rig rig;

    /** Sends the submissions and tracks their states. */
    private final CallerLoad load;

    /**
     * Creates a run with its emulated services. The processes of the entry VMs are not started yet.
     *
     * @param deployment the deployment whose zones and workers are run
     * @param table the table from whose rows the manifest and the load are generated
     * @param entryVms the number of entry VMs
     * @param seconds the duration of the load, in seconds
     * @param output the stream to which progress and results are printed
     */
    public LocalRun(
            Deployment deployment,
            OperatorTable table,
            int entryVms,
            long seconds,
            PrintStream output) {
        this.deployment = deployment;
        this.table = table;
        this.loadMillis = seconds * MILLIS_PER_SECOND;
        this.output = output;
        RandomGenerator random = new Well19937c(1);
        work = new SubmittedWork(random, 0);
        loop = new LabLoop("local", output::println);
        RigSettings settings =
                RigSettings.builder(temporaryDirectory())
                        .zones(deployment.zoneNames())
                        .entryVms(entryVms)
                        .workers(deployment.workers())
                        .capacity(deployment.capacity())
                        .build();
        rig = loop.await(made -> made.complete(new Rig(loop, settings, work, audit, random)));
        load =
                new CallerLoad(
                        loop.runtime(),
                        new CallerClient(loop.eventloop(), CALL_MILLIS),
                        rig.entryVms().stream().map(EntryProcess::callers).toList(),
                        random,
                        work);
    }

    /**
     * Runs the load, prints the results and kills the processes of the entry VMs.
     *
     * @return true if every submission reached a final state in time and no violation was found
     */
    public boolean run() {
        try (loop) {
            output.println(
                    deployment.workers()
                            + " workers, entry VMs at "
                            + rig.entryVms().stream().map(EntryProcess::callers).toList());
            boolean finished = loop.await(this::begin);
            return report(finished);
        } finally {
            rig.kill();
        }
    }

    /**
     * Starts the deployment and schedules the load, the changes halfway through it and the reports
     * of progress.
     *
     * @param finished completed with true once all submissions are settled, with false after the
     *     timeout
     */
    private void begin(CompletableFuture<Boolean> finished) {
        Manifest manifest = TableManifest.of(table, Rig.SERVICE, 1);
        rig.manifest(manifest, manifest.routes());
        rig.start();
        List<KindOfWork> rows = table.rows();
        for (int row = 0; row < rows.size(); row++) {
            for (int number = 0; number < PER_ROW; number++) {
                Route route = manifest.routes().get(row);
                Submission submission = submission(rows.get(row));
                loop.runtime()
                        .schedule(
                                loadMillis * number / PER_ROW, () -> load.send(route, submission));
            }
        }
        loop.runtime().schedule(loadMillis / 2, this::change);
        awaitFinish(finished, loop.runtime().nowMillis());
    }

    /** Publishes a newer manifest and drains the last entry VM. */
    private void change() {
        Manifest manifest = TableManifest.of(table, Rig.SERVICE, 2);
        rig.manifest(manifest, manifest.routes());
        EntryProcess last = rig.entryVms().get(rig.entryVms().size() - 1);
        output.println("manifest version 2 is in the store; draining " + last.name());
        last.signal("TERM");
    }

    /**
     * Prints the progress repeatedly until all submissions are settled or the time is up.
     *
     * @param finished completed with true once all submissions are settled, with false after the
     *     timeout
     * @param beganMillis when the load began on the monotonic clock, in milliseconds
     */
    private void awaitFinish(CompletableFuture<Boolean> finished, long beganMillis) {
        long open = load.items().stream().filter(item -> !item.settled()).count();
        output.println("sent " + load.items().size() + ", open " + open);
        long passed = loop.runtime().nowMillis() - beganMillis;
        boolean sent = load.items().size() == table.rows().size() * PER_ROW;
        if ((sent && open == 0) || passed > loadMillis + FINISH_MILLIS) {
            finished.complete(sent && open == 0);
            return;
        }
        loop.runtime().schedule(PROGRESS_MILLIS, () -> awaitFinish(finished, beganMillis));
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
            List<WorkItem> items =
                    load.items().stream().filter(item -> item.route().name().equals(kind)).toList();
            output.printf(
                    "%-20s %8d %9d %8d%n",
                    kind,
                    items.stream().filter(WorkItem::accepted).count(),
                    items.stream()
                            .filter(item -> item.state() == SubmissionState.SUCCEEDED)
                            .count(),
                    items.stream().filter(WorkItem::refused).count());
        }
        PromiseCheck check = new PromiseCheck(load, audit, work);
        List<String> found =
                loop.await(
                        result -> {
                            List<String> lines = new ArrayList<>(check.violations());
                            lines.addAll(check.unfinished());
                            result.complete(lines);
                        });
        found.forEach(line -> output.println("violation: " + line));
        output.println("violations: " + found.size());
        return finished && found.isEmpty();
    }

    /**
     * Creates a submission with a single task that needs the resources declared in the row.
     *
     * @param row the row of the table
     * @return the submission
     */
    private Submission submission(KindOfWork row) {
        Resources need =
                new Resources(
                        row.declared().milliProcessors(),
                        row.declared().memoryMegabytes(),
                        row.declared().accelerators());
        StepSpec step =
                StepSpec.builder(1, need)
                        .estimateMillis(
                                Math.max(1, Math.min(row.runTimeMillis(), LONGEST_TASK_MILLIS)))
                        .build();
        return new Submission(load.nextId(), row.name().value(), List.of(step), 0, 0, 0);
    }

    /**
     * Creates a directory for the settings and logs of the entry VMs.
     *
     * @return the path of the directory
     */
    private static Path temporaryDirectory() {
        try {
            return Files.createTempDirectory("damasktiller-local");
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }
}
