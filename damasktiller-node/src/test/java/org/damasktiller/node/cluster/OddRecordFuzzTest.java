package org.damasktiller.node.cluster;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Random;
import java.util.Set;
import org.damasktiller.platform.record.JsonPlatformRecordDecoder;
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
import org.damasktiller.scheduler.model.Manifest;
import org.damasktiller.scheduler.model.QueueTerms;
import org.damasktiller.scheduler.model.Resources;
import org.damasktiller.scheduler.model.StepSpec;
import org.damasktiller.scheduler.model.Submission;
import org.damasktiller.scheduler.model.SubmissionRecord;
import org.damasktiller.scheduler.model.SubmissionState;
import org.damasktiller.scheduler.model.TaskId;
import org.damasktiller.scheduler.port.AdviceReply;
import org.damasktiller.scheduler.port.StoreTransaction;
import org.damasktiller.standin.fleet.FaultInjectingWorkerClient;
import org.damasktiller.standin.fleet.RunObserver;
import org.damasktiller.standin.fleet.SimulatedWorker;
import org.damasktiller.standin.fleet.TaskBehaviour;
import org.damasktiller.standin.metadata.FaultInjectingStoreClient;
import org.damasktiller.standin.metadata.FaultPlan;
import org.damasktiller.standin.metadata.InMemoryStore;
import org.damasktiller.standin.time.VirtualTimeRuntime;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests that an owner with the real decoder goes on following the workers and the manifest whatever
 * another writer leaves there. An exception that leaves the owner ends the test.
 */
final class OddRecordFuzzTest implements TaskBehaviour, RunObserver {

    /** The identifier of a worker whose entry becomes odd at times. */
    private static final String STEADY = "i-steady";

    /** The name of the cell, of its service and of its route. */
    private static final String CELL = "s";

    /** The number of odd entries and manifests per seed. */
    private static final int ROUND_COUNT = 60;

    /** The time within which a worker that joins has to get work, in milliseconds. */
    private static final long FOLLOW_MILLIS = 1_000;

    private static final Resources CAPACITY = new Resources(8_000, 8_000, 0);

    /** What each task reserves. */
    private static final Resources NEED = new Resources(1_000, 1_000, 0);

    /** A valid entry without the label, which follows. */
    private static final String ENTRY =
            "{\"service\":\"s\",\"address\":\"10.0.0.1:8080\",\"zone\":\"z\",\"version\":\"v1\","
                    + "\"slots\":8,\"state\":\"ready\",\"remaining_ms\":0,"
                    + "\"cold_remaining_ms\":0,\"clock_ms\":5,\"sequence\":4,\"born\":0,"
                    + "\"capacity\":{\"cpu\":8000,\"mem_mb\":8000,\"gpu\":0},\"labels\":";

    /** A valid manifest. */
    private static final String MANIFEST =
            "{\"version\":7,\"routes\":[{\"name\":\"s\",\"host\":\"h\",\"path_prefix\":\"/\","
                    + "\"service\":\"s\",\"priority\":0,\"max_attempts\":3,\"extension\":1.5,"
                    + "\"target_latency_ms\":600}],\"services\":[{\"name\":\"s\","
                    + "\"enforces_capacity\":true}],\"limits\":{\"max_body_bytes\":5000}}";

    private final VirtualTimeRuntime runtime = new VirtualTimeRuntime();

    private final InMemoryStore store = new InMemoryStore(runtime);

    private final JsonPlatformRecordDecoder formats = new JsonPlatformRecordDecoder();

    /** The workers by identifier. */
    private final Map<String, SimulatedWorker> workers = new HashMap<>();

    /** The worker on which each submission has started, by the identifier of the submission. */
    private final Map<String, String> workerBySubmission = new HashMap<>();

    /** The version of the manifest that is in force. */
    private long manifestVersion;

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
    void workerThatJoinsAfterAnOddRecordGetsWork(long seed) {
        Random random = new Random(seed);
        OddRecords odd = new OddRecords(random);
        register(STEADY);
        write(formats.workerKeyPrefix() + odd.id(), odd.change(entry("odd")));
        startOwner();
        runtime.advance(3_000);
        for (int round = 0; round < ROUND_COUNT; round++) {
            String id = random.nextInt(3) == 0 ? STEADY : odd.id();
            write(formats.workerKeyPrefix() + id, odd.change(entry("odd")));
            write(formats.manifestKey(), odd.change(MANIFEST));
            runtime.advance(random.nextInt(200));
            if (random.nextInt(10) == 0) {
                store.compact();
            }
            write(formats.manifestKey(), bytes(MANIFEST));
            write(formats.workerKeyPrefix() + STEADY, bytes(entry(STEADY)));
            runtime.advance(100);
            checkJoiningWorker(seed, round);
        }
    }

    /**
     * Checks that a worker that joins gets work, and removes it.
     *
     * @param seed the seed, for the message
     * @param round the number of the round, which names the worker
     */
    private void checkJoiningWorker(long seed, int round) {
        String reason = "seed " + seed + ", round " + round;
        String worker = "i-" + round;
        String submission = String.format("%016x", round);
        register(worker);
        submit(submission, worker);
        runtime.advance(FOLLOW_MILLIS);
        assertThat(reason, workerBySubmission.get(submission), equalTo(worker));
        assertThat(reason, manifestVersion, is(7L));
        store.commit(new StoreTransaction().remove(formats.workerKeyPrefix() + worker));
    }

    /** Starts an owner and the watch of the manifest. */
    private void startOwner() {
        OwnerRecord record = new OwnerRecord("node", "process", 1);
        HeadRecord head = new HeadRecord(1, 0, record.node());
        long revision =
                store.commit(
                                new StoreTransaction()
                                        .put(CellKeys.owner(CELL), StoredValueCodec.encode(record))
                                        .put(CellKeys.head(CELL), StoredValueCodec.encode(head)))
                        .require()
                        .revision();
        FaultInjectingStoreClient client =
                new FaultInjectingStoreClient(store, runtime, FaultPlan.NO_FAULTS);
        Manifest first = Objects.requireNonNull(formats.decodeManifest(bytes(MANIFEST)));
        CellEnvironment environment =
                new CellEnvironment(
                        CellSettings.builder().build(),
                        client,
                        new FaultInjectingWorkerClient(
                                workers, Set.of(), runtime, FaultPlan.NO_FAULTS),
                        (step, candidates, callback) ->
                                callback.accept(new AdviceReply(true, Map.of(), 0, "")),
                        formats,
                        runtime,
                        (event, fields) -> {},
                        first,
                        Set.of());
        CellTerm term = new CellTerm(1, record, revision, runtime.nowMillis());
        CellOwner owner =
                new CellOwner(
                        environment,
                        CELL,
                        term,
                        entry -> entry.service().equals(CELL),
                        reason -> {});
        owner.start();
        ManifestWatcher watcher =
                new ManifestWatcher(
                        client,
                        formats,
                        runtime,
                        (event, fields) -> {},
                        () -> false,
                        (manifest, manifestRevision, published) -> onManifest(owner, manifest));
        watcher.start();
    }

    /**
     * Passes a version on to the owner.
     *
     * @param owner the owner
     * @param manifest the version
     */
    private void onManifest(CellOwner owner, Manifest manifest) {
        manifestVersion = manifest.version();
        owner.updateManifest(manifest);
    }

    /**
     * Boots a worker and writes its entry.
     *
     * @param id the identifier of the worker
     */
    private void register(String id) {
        workers.put(id, new SimulatedWorker(id, CAPACITY, runtime, this, this));
        write(formats.workerKeyPrefix() + id, bytes(entry(id)));
    }

    /**
     * Creates a valid entry.
     *
     * @param label the only label
     * @return the JSON text
     */
    private static String entry(String label) {
        return ENTRY + "[\"" + label + "\"]}";
    }

    /**
     * Stores a submission of one task as accepted.
     *
     * @param id the identifier of the submission
     * @param label the label that a worker must have
     */
    private void submit(String id, String label) {
        StepSpec step = StepSpec.builder(1, NEED).estimateMillis(50).requiredLabel(label).build();
        Submission submission = new Submission(id, "payload", List.of(step), 0, 0, 0);
        SubmissionRecord record =
                new SubmissionRecord(CELL, CELL, SubmissionState.QUEUED, runtime.unixMillis());
        AcceptedSubmission accepted =
                new AcceptedSubmission(
                        submission, CELL, CELL, runtime.unixMillis(), QueueTerms.UNKNOWN);
        write(CellKeys.submission(id), StoredValueCodec.encode(record));
        write(CellKeys.openSubmissionsPrefix(CELL) + id, StoredValueCodec.encode(accepted));
    }

    /**
     * Writes a key.
     *
     * @param key the key
     * @param value the value
     */
    private void write(String key, byte[] value) {
        store.commit(new StoreTransaction().put(key, value));
    }

    /**
     * Encodes a text.
     *
     * @param text the text
     * @return the text in UTF-8
     */
    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    @Override
    public Resources reserved(TaskId task) {
        return NEED;
    }

    @Override
    public long durationMillis(String worker, TaskId task) {
        return 50;
    }

    @Override
    public EndKind outcome(String worker, TaskId task) {
        return EndKind.DONE;
    }

    @Override
    public void started(String worker, TaskId task, int run) {
        workerBySubmission.put(task.submission(), worker);
    }

    @Override
    public void ended(String worker, TaskId task, int run, @Nullable EndKind kind) {}

    @Override
    public void acknowledged(String worker, TaskId task, int run, EndKind kind) {}
}
