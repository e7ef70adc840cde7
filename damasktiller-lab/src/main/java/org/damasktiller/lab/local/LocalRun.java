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
import org.damasktiller.standin.fleet.RunInvariantChecker;
import org.damasktiller.table.KindOfWork;
import org.damasktiller.table.OperatorTable;

/**
 * Runs a deployment on this machine with a short mixed load from the rows of a table, puts a newer
 * manifest in force, drains an entry VM, and accounts for every accepted submission.
 */
public final class LocalRun {

    /** The number of submissions of each row. */
    private static final int PER_ROW = 20;

    /** The longest task of the load, in milliseconds. */
    private static final long LONGEST_TASK_MILLIS = 300;

    /** How long a caller waits for an answer, in milliseconds. */
    private static final long CALL_MILLIS = 5_000;

    /** The time between two lines of progress, in milliseconds. */
    private static final long PROGRESS_MILLIS = 1_000;

    /** The longest time for the open work to finish after the load, in milliseconds. */
    private static final long FINISH_MILLIS = 60_000;

    /** The number of milliseconds in a second. */
    private static final long MILLIS_PER_SECOND = 1_000;

    /** The deployment. */
    private final Deployment deployment;

    /** The table. */
    private final OperatorTable table;

    /** How long the load lasts, in milliseconds. */
    private final long loadMillis;

    /** Where progress and results go. */
    private final PrintStream output;

    /** The loop. */
    private final LabLoop loop;

    /** What the workers ran. */
    private final RunInvariantChecker audit = new RunInvariantChecker(TableManifest.ATTEMPTS);

    /** What callers have submitted. */
    private final SubmittedWork work;

    /** The deployment while it runs. */
    private final Rig rig;

    /** The callers. */
    private final CallerLoad load;

    /**
     * Creates a run.
     *
     * @param deployment the deployment
     * @param table the table
     * @param entryVms the number of entry VMs
     * @param seconds how long the load lasts, in seconds
     * @param output where progress and results go
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
     * Runs.
     *
     * @return whether every accepted submission is accounted for and nothing ran twice
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
     * Starts the deployment and the load.
     *
     * @param finished takes whether all work finished
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

    /** Puts a newer manifest in force and drains the last entry VM. */
    private void change() {
        Manifest manifest = TableManifest.of(table, Rig.SERVICE, 2);
        rig.manifest(manifest, manifest.routes());
        EntryProcess last = rig.entryVms().get(rig.entryVms().size() - 1);
        output.println("manifest version 2 is in the store; draining " + last.name());
        last.signal("TERM");
    }

    /**
     * Shows progress until all work has finished.
     *
     * @param finished takes whether it has
     * @param beganMillis when the load began, in milliseconds
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
     * Prints what each row got and checks the promises.
     *
     * @param finished whether all work finished
     * @return whether all promises were kept
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
     * Makes a submission of a row: one task of the row's size.
     *
     * @param row the row
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
     * Makes a directory for settings and logs.
     *
     * @return its path
     */
    private static Path temporaryDirectory() {
        try {
            return Files.createTempDirectory("damasktiller-local");
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }
}
