package org.damasktiller.daemon.local;

import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import java.io.PrintStream;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import org.damasktiller.daemon.command.ApiClient;
import org.damasktiller.daemon.operator.OperatorPaths;
import org.damasktiller.daemon.operator.StatusBody;
import org.damasktiller.daemon.operator.TableBody;
import org.damasktiller.daemon.operator.TableCellBody;
import org.damasktiller.daemon.operator.TableChangeBody;
import org.damasktiller.daemon.operator.TablePutBody;
import org.damasktiller.error.ErrorCode;
import org.damasktiller.error.Step;
import org.damasktiller.identity.JobId;
import org.damasktiller.platform.http.EventLoops;
import org.damasktiller.standin.http.CallContext;
import org.damasktiller.standin.worker.Run;
import org.damasktiller.standin.worker.RunEnd;
import org.damasktiller.standin.worker.Violation;
import org.damasktiller.table.KindOfWork;
import org.damasktiller.table.OperatorTable;
import org.damasktiller.table.Repeat;

/**
 * Runs the whole system on loopback with a short mixed load, an edit of the table and the drain of
 * an entry VM, and accounts for every accepted item of work.
 */
public final class LocalRun {

    /** The time between two lines of progress, in milliseconds. */
    private static final long PROGRESS_MILLIS = 1_000;

    /** The longest time for the open work to finish after the load, in milliseconds. */
    private static final long FINISH_MILLIS = 60_000;

    /** How long to wait for an answer of an entry VM, in milliseconds. */
    private static final long CALL_TIMEOUT_MILLIS = 10_000;

    /** The number of milliseconds in a second. */
    private static final long MILLIS_PER_SECOND = 1_000;

    /** The deployment. */
    private final Deployment deployment;

    /** The table as CSV. */
    private final String csv;

    /** How long the load lasts, in seconds. */
    private final long seconds;

    /** Where progress and results go. */
    private final PrintStream output;

    /**
     * Creates a run.
     *
     * @param deployment the deployment
     * @param csv the table as CSV
     * @param seconds how long the load lasts, in seconds
     * @param output where progress and results go
     */
    public LocalRun(Deployment deployment, String csv, long seconds, PrintStream output) {
        this.deployment = deployment;
        this.csv = csv;
        this.seconds = seconds;
        this.output = output;
    }

    /**
     * Runs.
     *
     * @param table the table that the text holds
     * @return whether every accepted item of work is accounted for exactly once
     */
    public boolean run(OperatorTable table) {
        Eventloop eventloop = EventLoops.start("load");
        try (LocalPlatform platform = new LocalPlatform(deployment);
                LocalCluster cluster = new LocalCluster(platform, deployment.zones());
                ApiClient operator = new ApiClient()) {
            output.println(
                    deployment.workers() + " workers, entry VMs at " + cluster.callerAddresses());
            putTable(operator, cluster);
            List<KindOfWork> kinds = table.rows();
            LocalLoad load = new LocalLoad(eventloop, cluster::callerAddresses, kinds);
            boolean drained = sendLoad(eventloop, load, cluster, operator, kinds);
            eventloop.submit(load::stop).join();
            return report(platform, load, table, drained);
        } finally {
            eventloop.execute(eventloop::breakEventloop);
        }
    }

    /**
     * Puts the table and waits until every entry VM has it in force.
     *
     * @param operator the operator's client
     * @param cluster the entry VMs
     */
    private void putTable(ApiClient operator, LocalCluster cluster) {
        TableBody present = get(operator, cluster, OperatorPaths.TABLE, TableBody.class);
        TablePutBody body =
                new TablePutBody(UUID.randomUUID().toString(), "local", present.version(), csv);
        TableChangeBody change =
                post(operator, cluster, OperatorPaths.TABLE, body, TableChangeBody.class);
        awaitVersion(operator, cluster, change.version());
        output.println("table version " + change.version() + " is in force");
    }

    /**
     * Sends the load, edits the table and drains an entry VM in the middle of it.
     *
     * @param eventloop the event loop of the load
     * @param load the load
     * @param cluster the entry VMs
     * @param operator the operator's client
     * @param kinds the kinds of work
     * @return whether the drained VM cut off no request
     */
    private boolean sendLoad(
            Eventloop eventloop,
            LocalLoad load,
            LocalCluster cluster,
            ApiClient operator,
            List<KindOfWork> kinds) {
        long endMillis = eventloop.currentTimeMillis() + seconds * MILLIS_PER_SECOND;
        eventloop.submit(() -> start(load, kinds, endMillis)).join();
        pause(seconds * MILLIS_PER_SECOND / 2);
        editTable(operator, cluster, kinds.get(0));
        output.println("draining an entry VM");
        CompletableFuture<Boolean> drained = cluster.drainLast();
        awaitFinish(eventloop, load, endMillis);
        return drained.join();
    }

    /**
     * Starts the load.
     *
     * @param load the load
     * @param kinds the kinds of work
     * @param endMillis when to send no more calls, in milliseconds
     */
    private static void start(LocalLoad load, List<KindOfWork> kinds, long endMillis) {
        for (KindOfWork kind : kinds) {
            if (!LocalLoad.isInteractive(kind)) {
                load.submitJobs(kind);
            } else if (kind.repeat() == Repeat.AT_MOST_ONCE) {
                load.sendCall(kind);
            } else {
                load.sendCalls(kind, endMillis);
            }
        }
    }

    /**
     * Changes the weight of one row.
     *
     * @param operator the operator's client
     * @param cluster the entry VMs
     * @param kind the row
     */
    private void editTable(ApiClient operator, LocalCluster cluster, KindOfWork kind) {
        String weight = Integer.toString(kind.weight() + 1);
        TableCellBody body =
                new TableCellBody(
                        UUID.randomUUID().toString(),
                        "local",
                        0,
                        kind.name().value(),
                        "weight",
                        weight);
        TableChangeBody change =
                post(operator, cluster, OperatorPaths.TABLE_CELL, body, TableChangeBody.class);
        output.println("edit accepted: " + change.changes());
        awaitVersion(operator, cluster, change.version());
        output.println("table version " + change.version() + " is in force");
    }

    /**
     * Shows progress until all work has finished.
     *
     * @param eventloop the event loop of the load
     * @param load the load
     * @param endMillis when the load ends, in milliseconds
     */
    private void awaitFinish(Eventloop eventloop, LocalLoad load, long endMillis) {
        long giveUpMillis = endMillis + FINISH_MILLIS;
        while (eventloop.currentTimeMillis() < giveUpMillis) {
            long finished = load.tallies().values().stream().mapToLong(WorkTally::finished).sum();
            int open = eventloop.submit(() -> Promise.of(load.open())).join();
            output.println("finished " + finished + ", open " + open);
            if (open == 0 && eventloop.currentTimeMillis() >= endMillis) {
                return;
            }
            pause(PROGRESS_MILLIS);
        }
    }

    /**
     * Prints what each kind of work got and checks the accounts.
     *
     * @param platform the platform
     * @param load the load
     * @param table the table
     * @param drained whether the drained VM cut off no request
     * @return whether everything is accounted for
     */
    private boolean report(
            LocalPlatform platform, LocalLoad load, OperatorTable table, boolean drained) {
        List<Violation> violations =
                platform.observe(() -> platform.observer().violations(job -> false));
        load.jobs().forEach((kind, jobs) -> checkJobs(platform, load, kind, jobs));
        load.answeredKeys()
                .forEach(
                        (kind, keys) ->
                                keys.stream()
                                        .filter(key -> platform.executions(key) != 1)
                                        .forEach(key -> unaccounted(load, kind)));
        output.println(WorkTally.header());
        for (KindOfWork kind : table.rows()) {
            String name = kind.name().value();
            output.println(load.tallies().getOrDefault(name, new WorkTally()).line(name));
        }
        violations.forEach(violation -> output.println("violation: " + violation));
        output.println("requests cut off by the drain: " + (drained ? "none" : "some"));
        long missing =
                load.tallies().values().stream().mapToLong(WorkTally::unaccounted).sum()
                        + load.open();
        output.println("not accounted for: " + missing + ", violations: " + violations.size());
        return missing == 0 && violations.isEmpty() && drained;
    }

    /**
     * Checks that each job of a kind ran to its end exactly once, and counts its evictions.
     *
     * @param platform the platform
     * @param load the load
     * @param kind the kind of work
     * @param jobs the jobs
     */
    private static void checkJobs(
            LocalPlatform platform, LocalLoad load, String kind, List<String> jobs) {
        WorkTally tally = load.tallies().getOrDefault(kind, new WorkTally());
        for (String job : jobs) {
            List<Run> runs = platform.observe(() -> platform.observer().runsOf(new JobId(job)));
            long completed = runs.stream().filter(run -> run.end() == RunEnd.SUCCEEDED).count();
            tally.countEvicted(Math.max(0, runs.size() - 1));
            if (completed != 1) {
                tally.countUnaccounted();
            }
        }
    }

    /**
     * Counts an item that is not accounted for.
     *
     * @param load the load
     * @param kind the kind of work
     */
    private static void unaccounted(LocalLoad load, String kind) {
        load.tallies().getOrDefault(kind, new WorkTally()).countUnaccounted();
    }

    /**
     * Waits until every entry VM tells that a version is in force.
     *
     * @param operator the operator's client
     * @param cluster the entry VMs
     * @param version the version
     */
    private static void awaitVersion(ApiClient operator, LocalCluster cluster, long version) {
        for (String address : cluster.operatorAddresses()) {
            String url = "http://" + address + OperatorPaths.STATUS;
            while (operator.call(client -> client.get(url, StatusBody.class, context()))
                            .tableVersion()
                    < version) {
                pause(PROGRESS_MILLIS / 10);
            }
        }
    }

    /**
     * Reads from the operators' interface.
     *
     * @param operator the operator's client
     * @param cluster the entry VMs
     * @param path the path
     * @param type the type of the answer
     * @param <T> the type of the answer
     * @return the answer
     */
    private static <T> T get(ApiClient operator, LocalCluster cluster, String path, Class<T> type) {
        String url = "http://" + cluster.operatorAddress() + path;
        return operator.call(client -> client.get(url, type, context()));
    }

    /**
     * Writes to the operators' interface.
     *
     * @param operator the operator's client
     * @param cluster the entry VMs
     * @param path the path
     * @param body the request
     * @param type the type of the answer
     * @param <T> the type of the answer
     * @return the answer
     */
    private static <T> T post(
            ApiClient operator, LocalCluster cluster, String path, Object body, Class<T> type) {
        String url = "http://" + cluster.operatorAddress() + path;
        return operator.call(client -> client.post(url, body, type, context()));
    }

    /**
     * Makes the context of a call.
     *
     * @return the context
     */
    private static CallContext context() {
        return new CallContext(
                Step.ACCEPT, "entry VM", ErrorCode.DEADLINE_EXCEEDED, CALL_TIMEOUT_MILLIS);
    }

    /**
     * Waits.
     *
     * @param millis how long, in milliseconds
     */
    private static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }
}
