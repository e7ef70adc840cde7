package org.damasktiller.verification.owner;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.damasktiller.scheduler.cell.CellEnvironment;
import org.damasktiller.scheduler.cell.CellKeys;
import org.damasktiller.scheduler.cell.CellOwner;
import org.damasktiller.scheduler.cell.CellSettings;
import org.damasktiller.scheduler.cell.CellTerm;
import org.damasktiller.scheduler.cell.HeadRecord;
import org.damasktiller.scheduler.cell.OwnerRecord;
import org.damasktiller.scheduler.cell.StoredValueCodec;
import org.damasktiller.scheduler.model.AcceptedSubmission;
import org.damasktiller.scheduler.model.EndKind;
import org.damasktiller.scheduler.model.IngressLimits;
import org.damasktiller.scheduler.model.Manifest;
import org.damasktiller.scheduler.model.Resources;
import org.damasktiller.scheduler.model.Route;
import org.damasktiller.scheduler.model.StepSpec;
import org.damasktiller.scheduler.model.Submission;
import org.damasktiller.scheduler.model.SubmissionRecord;
import org.damasktiller.scheduler.model.SubmissionState;
import org.damasktiller.scheduler.model.TaskId;
import org.damasktiller.scheduler.port.AdviceReply;
import org.damasktiller.scheduler.port.Commit;
import org.damasktiller.scheduler.port.StoreItem;
import org.damasktiller.standin.fleet.FleetClient;
import org.damasktiller.standin.fleet.RunAudit;
import org.damasktiller.standin.fleet.TaskBehaviour;
import org.damasktiller.standin.fleet.WorkerModel;
import org.damasktiller.standin.metadata.FatePlan;
import org.damasktiller.standin.metadata.StoreClient;
import org.damasktiller.standin.metadata.StoreModel;
import org.damasktiller.standin.time.FreezableRuntime;
import org.damasktiller.standin.time.PausedRuntime;
import org.jspecify.annotations.Nullable;

/** A store, some workers and the owners of one cell, on a paused clock. */
final class OwnerWorld implements TaskBehaviour {

    /** The cell, which is also the service. */
    static final String CELL = "dispatch";

    /** The attempts of a task. */
    static final int ATTEMPTS = 3;

    /** The processors of a worker, in millicores. */
    private static final long WORKER_CPU = 8_000;

    /** The clock. */
    final PausedRuntime runtime = new PausedRuntime();

    /** The store. */
    final StoreModel store = new StoreModel(runtime);

    /** The workers by identifier. */
    final Map<String, WorkerModel> workers = new LinkedHashMap<>();

    /** The workers that can't be reached. */
    final Set<String> cut = FleetClient.nothingCut();

    /** The check of what must never happen. */
    final RunAudit audit = new RunAudit(ATTEMPTS);

    /** The lines of the log. */
    final List<String> lines = new ArrayList<>();

    /** The submissions that were handed in. */
    private final Map<String, Submission> submissions = new LinkedHashMap<>();

    /** How long tasks run, in milliseconds, or LASTS. */
    long workMillis = 400;

    /** How many times as long tasks run on a worker, for those that are slow. */
    final Map<String, Integer> slowness = new LinkedHashMap<>();

    /** The workers that fail all that they start. */
    final Set<String> failing = FleetClient.nothingCut();

    /** The submissions that always fail. */
    final Set<String> hopeless = FleetClient.nothingCut();

    /** Whether the queue needs advice. */
    boolean adviceNeeded;

    /** The workers that the advice service allows. */
    final Set<String> advised = FleetClient.nothingCut();

    /** The generation of the last owner. */
    private long generation;

    /**
     * Creates a world.
     *
     * @param count the number of workers
     */
    OwnerWorld(int count) {
        for (int number = 0; number < count; number++) {
            addWorker("w" + number);
        }
    }

    /**
     * Adds a worker.
     *
     * @param id its identifier
     */
    void addWorker(String id) {
        Resources capacity = new Resources(WORKER_CPU, WORKER_CPU, 0);
        workers.put(id, new WorkerModel(id, capacity, runtime, this, audit));
        register(id, false);
    }

    /**
     * Writes the entry of a worker.
     *
     * @param id its identifier
     * @param draining whether it is leaving
     */
    void register(String id, boolean draining) {
        WorkerModel model = workers.get(id);
        InetSocketAddress address =
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 1 + workers.size());
        store.commit(
                new Commit()
                        .put(
                                ModelFormats.WORKERS + id,
                                ModelFormats.encode(
                                        id,
                                        CELL,
                                        address,
                                        draining,
                                        model.capacity(),
                                        model.bornUnixMillis())));
    }

    /**
     * Removes the entry of a worker.
     *
     * @param id its identifier
     */
    void unregister(String id) {
        store.commit(new Commit().remove(ModelFormats.WORKERS + id));
    }

    /**
     * Hands in a submission.
     *
     * @param id its identifier
     * @param steps the steps
     */
    void submit(String id, StepSpec... steps) {
        Submission submission = new Submission(id, "payload", List.of(steps), 0, 0, 0);
        submissions.put(id, submission);
        SubmissionRecord record =
                new SubmissionRecord(CELL, "route", SubmissionState.QUEUED, runtime.unixMillis());
        AcceptedSubmission accepted =
                new AcceptedSubmission(submission, "route", CELL, runtime.unixMillis());
        store.commit(
                new Commit()
                        .expect(CellKeys.submission(id), StoreItem.ABSENT)
                        .put(CellKeys.submission(id), StoredValueCodec.encode(record))
                        .put(
                                CellKeys.openSubmissionsPrefix(CELL) + id,
                                StoredValueCodec.encode(accepted)));
    }

    /**
     * Cancels a submission.
     *
     * @param id its identifier
     */
    void cancel(String id) {
        SubmissionRecord record =
                new SubmissionRecord(
                        CELL, "route", SubmissionState.CANCELLED, runtime.unixMillis());
        store.commit(
                new Commit()
                        .put(CellKeys.submission(id), StoredValueCodec.encode(record))
                        .remove(CellKeys.openSubmissionsPrefix(CELL) + id));
    }

    /**
     * Returns the stored state of a submission.
     *
     * @param id its identifier
     * @return the state, or null if it is not stored
     */
    @Nullable SubmissionState state(String id) {
        byte[] value = store.value(CellKeys.submission(id));
        SubmissionRecord record =
                value == null ? null : StoredValueCodec.decode(value, SubmissionRecord.class);
        return record == null ? null : record.state();
    }

    /**
     * Begins a new term with calm connections.
     *
     * @return the owner's process
     */
    OwnerProcess own() {
        return own(FatePlan.CALM, FatePlan.CALM);
    }

    /**
     * Begins a new term.
     *
     * @param storeFates what becomes of calls to the store
     * @param workerFates what becomes of calls to workers
     * @return the owner's process
     */
    OwnerProcess own(FatePlan storeFates, FatePlan workerFates) {
        generation++;
        OwnerRecord record = new OwnerRecord("node" + generation, "process", generation);
        HeadRecord head = new HeadRecord(generation, 0, record.node());
        long revision =
                store.commit(
                                new Commit()
                                        .put(CellKeys.owner(CELL), StoredValueCodec.encode(record))
                                        .put(CellKeys.head(CELL), StoredValueCodec.encode(head)))
                        .require()
                        .revision();
        FreezableRuntime clock = new FreezableRuntime(runtime);
        CellTerm term = new CellTerm(generation, record, revision, clock.nowMillis());
        StoreClient storeClient = new StoreClient(store, clock, storeFates);
        FleetClient fleetClient = new FleetClient(workers, cut, clock, workerFates);
        CellEnvironment environment =
                new CellEnvironment(
                        CellSettings.builder().build(),
                        storeClient,
                        fleetClient,
                        this::advise,
                        new ModelFormats(),
                        clock,
                        this::log,
                        manifest());
        OwnerProcess process = new OwnerProcess(storeClient, fleetClient, clock);
        CellOwner owner =
                new CellOwner(
                        environment, CELL, term, entry -> true, reason -> process.ended = true);
        process.owner = owner;
        owner.start();
        return process;
    }

    /**
     * Returns the workers at which a run was ordered.
     *
     * @return their identifiers
     */
    Set<String> workersUsed() {
        Set<String> used = new TreeSet<>();
        for (String line : lines) {
            for (String id : workers.keySet()) {
                if (line.contains(" run.start ") && line.contains(" " + id + ",")) {
                    used.add(id);
                }
            }
        }
        return used;
    }

    /**
     * Counts the starts ordered at a worker.
     *
     * @param id its identifier
     * @return the number
     */
    int starts(String id) {
        return (int)
                lines.stream()
                        .filter(
                                line ->
                                        line.contains(" run.start ")
                                                && line.contains(" " + id + ","))
                        .count();
    }

    /**
     * Makes a step of short tasks.
     *
     * @param count the number of tasks
     * @param after the numbers of the earlier steps
     * @return the step
     */
    static StepSpec step(int count, Integer... after) {
        return spec(count, false, List.of(after));
    }

    /**
     * Makes a step of lasting tasks.
     *
     * @param count the number of tasks
     * @return the step
     */
    static StepSpec lasting(int count) {
        return spec(count, true, List.of());
    }

    @Override
    public Resources reserved(TaskId task) {
        Submission submission = submissions.get(task.submission());
        return submission == null ? Resources.NONE : submission.steps().get(task.step()).reserved();
    }

    @Override
    public long workMillis(String worker, TaskId task) {
        Submission submission = submissions.get(task.submission());
        boolean lasts = submission != null && submission.steps().get(task.step()).lasting();
        return lasts ? LASTS : workMillis * slowness.getOrDefault(worker, 1);
    }

    @Override
    public EndKind end(String worker, TaskId task) {
        boolean fails = failing.contains(worker) || hopeless.contains(task.submission());
        return fails ? EndKind.FAILED : EndKind.DONE;
    }

    /**
     * Makes a step.
     *
     * @param count the number of tasks
     * @param lasting whether they last
     * @param after the numbers of the earlier steps
     * @return the step
     */
    private static StepSpec spec(int count, boolean lasting, List<Integer> after) {
        return StepSpec.builder(count, new Resources(2_000, 1_000, 0))
                .estimateMillis(400)
                .after(after)
                .lasting(lasting)
                .build();
    }

    /**
     * Makes the manifest.
     *
     * @return the manifest
     */
    private Manifest manifest() {
        Route route = new Route("route", "host", "/", CELL, 0, ATTEMPTS, 2, 1_000, adviceNeeded);
        return new Manifest(1, List.of(route), Set.of(CELL), new IngressLimits(1 << 18, 15_000));
    }

    /**
     * Answers as the advice service.
     *
     * @param step the step
     * @param asked the workers
     * @param answer takes the answer
     */
    private void advise(String step, List<String> asked, Consumer<AdviceReply> answer) {
        Map<String, String> tickets = new LinkedHashMap<>();
        for (String worker : asked) {
            if (advised.contains(worker)) {
                tickets.put(worker, step + '-' + worker);
            }
        }
        runtime.schedule(
                20L * asked.size(), () -> answer.accept(new AdviceReply(true, tickets, 3_000, "")));
    }

    /**
     * Keeps a line of the log.
     *
     * @param event the kind of the event
     * @param fields names and values by turns
     */
    private void log(String event, Object... fields) {
        lines.add(runtime.nowMillis() + " " + event + " " + List.of(fields));
    }

    /** The process of an owner. */
    static final class OwnerProcess {

        /** Its connection to the store. */
        private final StoreClient storeClient;

        /** Its connections to the workers. */
        private final FleetClient fleetClient;

        /** Its clock. */
        final FreezableRuntime clock;

        /** The owner, once it has been made. */
        private @Nullable CellOwner owner;

        /** Whether its term has ended. */
        boolean ended;

        /**
         * Creates a process.
         *
         * @param storeClient its connection to the store
         * @param fleetClient its connections to the workers
         * @param clock its clock
         */
        OwnerProcess(StoreClient storeClient, FleetClient fleetClient, FreezableRuntime clock) {
            this.storeClient = storeClient;
            this.fleetClient = fleetClient;
            this.clock = clock;
        }

        /** Kills the process. */
        void kill() {
            storeClient.kill();
            fleetClient.kill();
            if (owner != null) {
                owner.stop("killed");
            }
        }
    }
}
