package org.damasktiller.decision.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.notNullValue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import org.damasktiller.decision.KindIndex;
import org.damasktiller.identity.JobId;
import org.damasktiller.identity.KindName;
import org.damasktiller.identity.RackName;
import org.damasktiller.identity.WorkerId;
import org.damasktiller.identity.ZoneName;
import org.damasktiller.resource.Resources;
import org.junit.jupiter.api.Test;

class PlacementIndexTest {

    private static final Resources CAPACITY = new Resources(16_000, 60_000, 0);

    private static final KindName KIND = new KindName("spectrum");

    private final PlacementIndex index =
            new PlacementIndex(new KindIndex(), new SplittableRandom(7), 16);

    @Test
    void testRandomSequenceNeverReservesAboveCapacity() {
        SplittableRandom random = new SplittableRandom(11);
        Map<JobId, Resources> sizes = new HashMap<>();
        Map<JobId, WorkerId> places = new HashMap<>();
        addWorkers(20);
        for (int step = 0; step < 20_000; step++) {
            JobId job = new JobId("j" + random.nextInt(500));
            Resources size = size(random);
            if (!sizes.containsKey(job)) {
                index.choose(request(job, size), (kind, request, worker) -> 0)
                        .worker()
                        .ifPresent(
                                worker -> {
                                    assertThat(index.reserve(job, KIND, worker, size), is(true));
                                    sizes.put(job, size);
                                    places.put(job, worker);
                                });
            } else if (random.nextBoolean()) {
                sizes.computeIfPresent(
                        job, (name, before) -> index.resize(job, size) ? size : before);
            } else {
                assertThat(index.release(job).isPresent(), is(true));
                sizes.remove(job);
                places.remove(job);
            }
        }
        for (int worker = 0; worker < 20; worker++) {
            assertWithinCapacity(worker(worker), sizes, places);
        }
    }

    @Test
    void testReservationWithoutRoomIsRefused() {
        addWorkers(1);
        Resources most = new Resources(10_000, 1000, 0);
        assertThat(index.reserve(new JobId("a"), KIND, worker(0), most), is(true));
        assertThat(index.reserve(new JobId("b"), KIND, worker(0), most), is(false));
        assertThat(index.resize(new JobId("a"), new Resources(16_001, 1000, 0)), is(false));
        assertThat(index.resize(new JobId("a"), CAPACITY), is(true));
    }

    @Test
    void testLastFreeWorkerOfManyIsFound() {
        addWorkers(300);
        for (int worker = 0; worker < 300; worker++) {
            if (worker != 177) {
                JobId job = new JobId("j" + worker);
                index.reserve(job, KIND, worker(worker), new Resources(15_000, 1000, 0));
            }
        }
        Optional<WorkerId> chosen = choose("last", new Resources(8000, 1000, 0));
        assertThat(chosen, is(Optional.of(worker(177))));
    }

    @Test
    void testLeastCostOfASmallFleetWins() {
        addWorkers(12);
        Optional<WorkerId> chosen =
                index.choose(
                                request(new JobId("j"), new Resources(100, 100, 0)),
                                (kind, request, worker) -> worker.number() == 7 ? 0 : 1)
                        .worker();
        assertThat(chosen.isPresent(), is(true));
        Optional<WorkerId> none =
                index.choose(
                                request(new JobId("j"), new Resources(100, 100, 0)),
                                (kind, request, worker) -> Double.POSITIVE_INFINITY)
                        .worker();
        assertThat(none, is(Optional.empty()));
    }

    @Test
    void testPlacesAndAcceleratorsAreKept() {
        ZoneName far = new ZoneName("far");
        index.addWorker(spec("plain", "near", CAPACITY));
        index.addWorker(spec("fast", "near", new Resources(16_000, 60_000, 2)));
        index.addWorker(spec("distant", "far", CAPACITY));
        PlacementRequest there =
                new PlacementRequest(new JobId("a"), KIND, CAPACITY, Resources.NONE, List.of(far));
        assertThat(
                index.choose(there, (kind, request, worker) -> 0).worker(),
                is(Optional.of(new WorkerId("distant"))));
        Optional<WorkerId> fast = choose("b", new Resources(1, 1, 1));
        assertThat(fast, is(Optional.of(new WorkerId("fast"))));
        for (int each = 0; each < 50; each++) {
            Optional<WorkerId> plain = choose("c", new Resources(1, 1, 0));
            assertThat(plain.equals(Optional.of(new WorkerId("fast"))), is(false));
        }
    }

    @Test
    void testClosedWorkerReceivesNothing() {
        addWorkers(1);
        index.open(worker(0), false);
        assertThat(choose("a", Resources.NONE), is(Optional.empty()));
        index.open(worker(0), true);
        assertThat(choose("a", Resources.NONE), is(Optional.of(worker(0))));
    }

    @Test
    void testHeldWorkerIsKeptForItsKindUntilTheHoldExpires() {
        addWorkers(1);
        index.reserve(new JobId("a"), KIND, worker(0), new Resources(8000, 1000, 0));
        KindName large = new KindName("large");
        PlacementRequest whole =
                new PlacementRequest(new JobId("l"), large, CAPACITY, Resources.NONE, List.of());
        index.hold(whole, (kind, request, worker) -> 0, 1, 5000);
        assertThat(choose("small", new Resources(1, 1, 0)), is(Optional.empty()));
        PlacementChoice none = index.choose(whole, (kind, request, worker) -> 0);
        assertThat(none, is(new PlacementChoice(Optional.empty(), false)));
        index.release(new JobId("a"));
        index.expireHolds(4999);
        assertThat(choose("small", new Resources(1, 1, 0)), is(Optional.empty()));
        PlacementChoice harmful =
                index.choose(whole, (kind, request, worker) -> Double.POSITIVE_INFINITY);
        assertThat(harmful, is(new PlacementChoice(Optional.empty(), true)));
        assertThat(
                index.choose(whole, (kind, request, worker) -> 0).worker(),
                is(Optional.of(worker(0))));
        index.expireHolds(5000);
        assertThat(choose("small", new Resources(1, 1, 0)), is(Optional.of(worker(0))));
    }

    @Test
    void testOnlyAPartOfTheWorkersIsHeld() {
        addWorkers(8);
        PlacementRequest request =
                new PlacementRequest(
                        new JobId("l"), new KindName("l"), CAPACITY, Resources.NONE, List.of());
        index.hold(request, (kind, asked, worker) -> 0, 8, 5000);
        for (int each = 0; each < 6; each++) {
            JobId job = new JobId("j" + each);
            Optional<WorkerId> worker = choose("j" + each, CAPACITY);
            assertThat(index.reserve(job, KIND, worker.orElseThrow(), CAPACITY), is(true));
        }
        assertThat(choose("j6", CAPACITY), is(Optional.empty()));
    }

    @Test
    void testRemovedWorkerNamesItsJobs() {
        addWorkers(2);
        index.reserve(new JobId("a"), KIND, worker(0), new Resources(1, 1, 0));
        index.reserve(new JobId("b"), KIND, worker(1), new Resources(1, 1, 0));
        index.reserve(new JobId("c"), KIND, worker(0), new Resources(1, 1, 0));
        assertThat(
                index.removeWorker(worker(0)), containsInAnyOrder(new JobId("a"), new JobId("c")));
        assertThat(index.size(), is(1));
        assertThat(index.release(new JobId("a")), is(Optional.empty()));
    }

    private void assertWithinCapacity(
            WorkerId id, Map<JobId, Resources> sizes, Map<JobId, WorkerId> places) {
        Resources sum = Resources.NONE;
        for (Map.Entry<JobId, WorkerId> entry : places.entrySet()) {
            if (entry.getValue().equals(id)) {
                sum = sum.plus(sizes.getOrDefault(entry.getKey(), Resources.NONE));
            }
        }
        WorkerState state = index.worker(id);
        assertThat(state, is(notNullValue()));
        assertThat(sum.fitsWithin(CAPACITY), is(true));
        assertThat(state.free(), is(CAPACITY.minus(sum)));
    }

    private Optional<WorkerId> choose(String job, Resources size) {
        return index.choose(request(new JobId(job), size), (kind, request, worker) -> 0).worker();
    }

    private void addWorkers(int count) {
        List<WorkerSpec> specs = new ArrayList<>();
        for (int number = 0; number < count; number++) {
            specs.add(spec("w" + number, "z" + number % 3, CAPACITY));
        }
        specs.forEach(index::addWorker);
    }

    private static WorkerSpec spec(String id, String zone, Resources capacity) {
        return new WorkerSpec(new WorkerId(id), new ZoneName(zone), new RackName("r"), capacity);
    }

    private static PlacementRequest request(JobId job, Resources size) {
        return new PlacementRequest(job, KIND, size, Resources.NONE, List.of());
    }

    private static WorkerId worker(int number) {
        return new WorkerId("w" + number);
    }

    private static Resources size(SplittableRandom random) {
        return new Resources(random.nextLong(1, 9000), random.nextLong(1, 30_000), 0);
    }
}
