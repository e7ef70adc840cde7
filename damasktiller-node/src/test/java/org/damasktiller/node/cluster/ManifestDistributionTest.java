package org.damasktiller.node.cluster;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Random;
import org.damasktiller.scheduler.cell.CellKeys;
import org.damasktiller.scheduler.cell.StoredValueCodec;
import org.damasktiller.scheduler.model.Manifest;
import org.damasktiller.scheduler.model.Route;
import org.damasktiller.scheduler.port.StoreTransaction;
import org.damasktiller.standin.metadata.CallFault;
import org.damasktiller.standin.metadata.FaultInjectingStoreClient;
import org.damasktiller.standin.metadata.FaultPlan;
import org.damasktiller.standin.metadata.InMemoryStore;
import org.damasktiller.standin.time.VirtualTimeRuntime;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests how versions of the manifest reach processes near the store and far from it. */
final class ManifestDistributionTest {

    /** The time within which a version has to be in force everywhere, in milliseconds. */
    private static final long APPLY_MILLIS = 3_000;

    private static final List<CallFault> FAULTS = List.of(CallFault.values());

    private final VirtualTimeRuntime runtime = new VirtualTimeRuntime();

    private final InMemoryStore store = new InMemoryStore(runtime);

    /** The versions that the operator has written, by number. */
    private final Map<Long, Manifest> written = new HashMap<>();

    @Test
    void farProcessReceivesChangesInsteadOfVersions() {
        new TestProcess("near-1", true, FaultPlan.NO_FAULTS);
        TestProcess far = new TestProcess("far", false, FaultPlan.NO_FAULTS);
        runtime.advance(2_000);
        write(TestManifests.of(1, List.of("a")));
        far.awaitVersion(1);
        write(TestManifests.of(2, List.of("a", "b")));
        runtime.advance(150);
        assertThat(far.version(), is(2L));
        assertThat(far.publishedVersions, is(List.of(2L)));
    }

    @Test
    void nextProcessPublishesIfTheFirstDoesNot() {
        new TestProcess("near-1", true, call -> lostIf(call.equals("commit")));
        new TestProcess("near-2", true, FaultPlan.NO_FAULTS);
        TestProcess far = new TestProcess("far", false, FaultPlan.NO_FAULTS);
        runtime.advance(2_000);
        write(TestManifests.of(1, List.of("a")));
        far.awaitVersion(1);
        write(TestManifests.of(2, List.of("a", "b")));
        runtime.advance(350);
        assertThat(far.version(), is(2L));
        assertThat(far.publishedVersions, is(List.of(2L)));
    }

    /** The next version came before the change to the one before it was stored. */
    @Test
    void versionsInQuickSuccessionAreAllPublished() {
        new TestProcess("near-1", true, FaultPlan.NO_FAULTS);
        TestProcess far = new TestProcess("far", false, FaultPlan.NO_FAULTS);
        runtime.advance(2_000);
        write(TestManifests.of(1, List.of("a")));
        far.awaitVersion(1);
        write(TestManifests.of(2, List.of("a", "b")));
        runtime.advance(3);
        write(TestManifests.of(3, List.of("b")));
        write(TestManifests.of(4, List.of("b", "c")));
        runtime.advance(150);
        assertThat(far.version(), is(4L));
        assertThat(far.publishedVersions, hasItem(4L));
    }

    @Test
    void farProcessReadsTheVersionIfNobodyPublishes() {
        TestProcess far = new TestProcess("far", false, FaultPlan.NO_FAULTS);
        runtime.advance(2_000);
        write(TestManifests.of(1, List.of("a")));
        runtime.advance(APPLY_MILLIS);
        assertThat(far.version(), is(1L));
    }

    @Test
    void changeInForceDoesNotDependOnTheWatchOfTheManifest() {
        new TestProcess("near-1", true, FaultPlan.NO_FAULTS);
        boolean[] silent = {false};
        TestProcess other =
                new TestProcess(
                        "near-2",
                        true,
                        call -> lostIf(silent[0] && call.equals("watch " + TestManifests.KEY)));
        runtime.advance(2_000);
        write(TestManifests.of(1, List.of("a")));
        runtime.advance(2_000);
        silent[0] = true;
        runtime.advance(2_000);
        write(TestManifests.of(2, List.of("a", "b")));
        runtime.advance(150);
        assertThat(other.version(), is(2L));
    }

    /** Changes that are older, unreadable, from elsewhere or wrong, while calls fail at random. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20})
    void versionsNeverGoBackAndAreNeverMixed(long seed) {
        Random random = new Random(seed);
        boolean[] faulty = {true};
        FaultPlan faults =
                call ->
                        faulty[0] && random.nextInt(4) == 0
                                ? FAULTS.get(random.nextInt(FAULTS.size()))
                                : CallFault.ANSWERED;
        List<TestProcess> processes = new ArrayList<>();
        for (int index = 0; index < 6; index++) {
            processes.add(new TestProcess("vm-" + index, index < 3, faults));
        }
        runtime.advance(2_000);
        for (long version = 1; version <= 60; version++) {
            write(TestManifests.random(version, random));
            if (version > 1 && random.nextInt(8) == 0) {
                publishWrongChange(version, random);
            }
            if (random.nextInt(10) == 0) {
                store.compact();
            }
            runtime.advance(random.nextInt(600));
        }
        faulty[0] = false;
        runtime.advance(2 * APPLY_MILLIS);
        for (TestProcess process : processes) {
            assertThat(process.version(), is(60L));
            assertThat(process.steps, everyItem(greaterThan(0L)));
        }
        assertThat(
                processes.stream().map(process -> !process.publishedVersions.isEmpty()).toList(),
                hasItem(true));
    }

    /** Publishes a change that does not continue from the version at its revision. */
    private void publishWrongChange(long version, Random random) {
        Manifest from = Objects.requireNonNull(written.get(Math.max(1, version - 2)));
        Manifest to = TestManifests.random(version + random.nextInt(3), random);
        long revision = store.list(TestManifests.KEY, "").items().get(0).revision();
        byte[] value =
                random.nextBoolean()
                        ? TestManifests.unreadable()
                        : ManifestChange.between(revision, from, revision + random.nextInt(3), to)
                                .encode();
        store.commit(new StoreTransaction().put(CellKeys.MANIFEST_CHANGE, value));
    }

    private void write(Manifest manifest) {
        written.put(manifest.version(), manifest);
        store.commit(new StoreTransaction().put(TestManifests.KEY, TestManifests.encode(manifest)));
    }

    private static CallFault lostIf(boolean lost) {
        return lost ? CallFault.LOST : CallFault.ANSWERED;
    }

    /** The parts of a process that receive and publish versions. */
    private final class TestProcess implements ManifestListener {

        /** The versions that came as published changes. */
        private final List<Long> publishedVersions = new ArrayList<>();

        /** By how much the number rose with each version. */
        private final List<Long> steps = new ArrayList<>();

        private final ManifestWatcher watcher;

        private final ManifestPublisher publisher;

        private long lastVersion;

        private TestProcess(String name, boolean near, FaultPlan faults) {
            store.commit(
                    new StoreTransaction()
                            .put(
                                    CellKeys.NODE_PREFIX + name,
                                    StoredValueCodec.encode(
                                            new NodeRecord(
                                                    name, name, "zone", near, 1_000, 0, "",
                                                    true))));
            FaultInjectingStoreClient client =
                    new FaultInjectingStoreClient(store, runtime, faults);
            ClusterView view = new ClusterView(client, runtime, (event, fields) -> {}, () -> {});
            StoreSession session =
                    new StoreSession(client, runtime, (event, fields) -> {}, 2_000, () -> {});
            publisher =
                    new ManifestPublisher(
                            new ClusterContext(
                                    client, session, view, runtime, (event, fields) -> {}),
                            name);
            watcher =
                    new ManifestWatcher(
                            client,
                            TestManifests.DECODER,
                            runtime,
                            (event, fields) -> {},
                            () -> !near,
                            this);
            view.setManifestChangeListener(watcher::onPublished);
            view.start();
            watcher.start();
        }

        private long version() {
            return lastVersion;
        }

        /**
         * Advances the time until a version is in force, just after a read of the manifest's key.
         */
        private void awaitVersion(long version) {
            while (lastVersion < version) {
                runtime.advance(10);
            }
        }

        @Override
        public void onManifest(Manifest manifest, long revision, boolean published) {
            publisher.onManifest(manifest, revision, published);
            if (published) {
                publishedVersions.add(manifest.version());
            }
            steps.add(manifest.version() - lastVersion);
            lastVersion = manifest.version();
            Manifest expected = Objects.requireNonNull(written.get(manifest.version()));
            assertThat(
                    manifest.routes(), containsInAnyOrder(expected.routes().toArray(Route[]::new)));
        }
    }
}
