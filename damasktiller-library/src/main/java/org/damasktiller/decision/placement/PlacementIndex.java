package org.damasktiller.decision.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import org.damasktiller.decision.KindIndex;
import org.damasktiller.identity.JobId;
import org.damasktiller.identity.KindName;
import org.damasktiller.identity.WorkerId;
import org.damasktiller.identity.ZoneName;
import org.damasktiller.resource.Resources;
import org.jspecify.annotations.Nullable;

/**
 * Keeps what is reserved on each worker and chooses workers. A choice scores a bounded sample of
 * the workers that have room, so that its cost does not grow with the number of workers. The sum of
 * the reservations of a worker never exceeds its capacity. Not safe for use by several threads.
 */
public final class PlacementIndex {

    /** One worker in this many, at least one, may be kept for kinds that find no room. */
    private static final int WORKERS_PER_HOLD = 4;

    /** How many workers are looked at when one is chosen to be kept. */
    private static final int HOLD_SAMPLES = 16;

    /** The numbers of the kinds. */
    private final KindIndex kinds;

    /** The source of randomness. */
    private final RandomGenerator random;

    /** How many workers are scored for a choice. */
    private final int samples;

    /** The workers by name. */
    private final Map<WorkerId, WorkerState> workers = new HashMap<>();

    /** The workers of each zone. */
    private final TreeMap<ZoneName, ZoneWorkers> zones = new TreeMap<>();

    /** The names of the zones. */
    private final List<ZoneName> zoneNames = new ArrayList<>();

    /** The reservations. */
    private final Map<JobId, Reservation> reservations = new HashMap<>();

    /** The workers kept for a kind. */
    private final WorkerHolds holds = new WorkerHolds();

    /** The workers gathered for a choice. */
    private final CandidateSet candidates = new CandidateSet();

    /** The number that the next worker gets. */
    private int nextNumber;

    /**
     * Creates an index without workers.
     *
     * @param kinds the numbers of the kinds
     * @param random the source of randomness
     * @param samples how many workers are scored for a choice, at least 1
     */
    public PlacementIndex(KindIndex kinds, RandomGenerator random, int samples) {
        this.kinds = kinds;
        this.random = random;
        this.samples = samples;
    }

    /**
     * Adds a worker without reservations. A known worker is left as it is.
     *
     * @param spec the worker
     */
    public void addWorker(WorkerSpec spec) {
        if (workers.containsKey(spec.id())) {
            return;
        }
        WorkerState worker = new WorkerState(spec, nextNumber++);
        workers.put(spec.id(), worker);
        ZoneWorkers zone = zones.get(spec.zone());
        if (zone == null) {
            zone = new ZoneWorkers();
            zones.put(spec.zone(), zone);
            zoneNames.add(spec.zone());
        }
        zone.all().add(worker);
        zone.index(worker);
    }

    /**
     * Removes a worker that is gone, with its reservations. Takes time in proportion to the
     * reservations.
     *
     * @param id the worker
     * @return the jobs that had reservations on it
     */
    public List<JobId> removeWorker(WorkerId id) {
        WorkerState worker = workers.remove(id);
        if (worker == null) {
            return List.of();
        }
        ZoneWorkers zone = zoneOf(worker);
        zone.unindex(worker);
        zone.all().remove(worker);
        holds.remove(worker);
        List<JobId> lost = new ArrayList<>();
        for (Reservation reservation : reservations.values()) {
            if (reservation.worker().equals(id)) {
                lost.add(reservation.job());
            }
        }
        lost.forEach(reservations::remove);
        return lost;
    }

    /**
     * Sets whether a worker may receive jobs; a draining worker or one on probation may not.
     *
     * @param id the worker
     * @param open whether it may
     */
    public void open(WorkerId id, boolean open) {
        WorkerState worker = workers.get(id);
        if (worker == null || worker.open() == open) {
            return;
        }
        zoneOf(worker).unindex(worker);
        worker.open(open);
        zoneOf(worker).index(worker);
    }

    /**
     * Chooses the worker with the least cost among those kept for the kind, or else among a sample
     * of those that have room.
     *
     * @param request the request
     * @param score the cost of each worker
     * @return the worker, or none if no worker has room or all costs are infinite
     */
    public PlacementChoice choose(PlacementRequest request, PlacementScore score) {
        candidates.reset(request.size().plus(request.leaveFree()));
        candidates.allow(samples);
        for (WorkerState kept : holds.of(request.kind())) {
            if (kept.open() && !candidates.full()) {
                candidates.offer(kept);
            }
        }
        Optional<WorkerId> best = leastCost(request, score);
        if (best.isPresent()) {
            return new PlacementChoice(best, true);
        }
        boolean keptHasRoom = !candidates.workers().isEmpty();
        gather(request);
        boolean roomFound = keptHasRoom || !candidates.workers().isEmpty();
        return new PlacementChoice(leastCost(request, score), roomFound);
    }

    /**
     * Chooses the open worker with the least cost among a random sample, whether it has room or
     * not, for a caller who can make room.
     *
     * @param request the request
     * @param score the cost of each worker
     * @return the worker, or empty if all costs are infinite
     */
    public Optional<WorkerId> chooseAny(PlacementRequest request, PlacementScore score) {
        int kind = kinds.number(request.kind());
        WorkerState best = null;
        double bestCost = Double.POSITIVE_INFINITY;
        for (int sample = 0; sample < samples; sample++) {
            WorkerState worker = anyWorker(request.places());
            if (worker == null || !worker.available()) {
                continue;
            }
            double cost = score.cost(kind, request, worker);
            if (cost < bestCost) {
                best = worker;
                bestCost = cost;
            }
        }
        return best == null ? Optional.empty() : Optional.of(best.spec().id());
    }

    /**
     * Reserves room for a job.
     *
     * @param job the job, which has no reservation
     * @param kind its kind
     * @param id the worker
     * @param size what to reserve
     * @return whether it was reserved; false if the worker is unknown or has no room
     */
    public boolean reserve(JobId job, KindName kind, WorkerId id, Resources size) {
        WorkerState worker = workers.get(id);
        boolean fits = worker != null && size.fitsWithin(worker.free());
        if (worker == null || !fits || reservations.containsKey(job)) {
            return false;
        }
        int number = kinds.number(kind);
        change(worker, number, 1, size, Resources.NONE);
        reservations.put(job, new Reservation(job, number, id, size));
        return true;
    }

    /**
     * Changes the size of a reservation.
     *
     * @param job the job
     * @param size the new size
     * @return whether it was changed; false if the worker has no room
     */
    public boolean resize(JobId job, Resources size) {
        Reservation reservation = reservations.get(job);
        WorkerState worker = reservation == null ? null : workers.get(reservation.worker());
        if (reservation == null || worker == null) {
            return false;
        }
        if (!size.fitsWithin(worker.free().plus(reservation.size()))) {
            return false;
        }
        change(worker, reservation.kind(), 0, size, reservation.size());
        reservations.put(job, new Reservation(job, reservation.kind(), reservation.worker(), size));
        return true;
    }

    /**
     * Gives up a reservation.
     *
     * @param job the job
     * @return the reservation, or empty if there was none
     */
    public Optional<Reservation> release(JobId job) {
        Reservation reservation = reservations.remove(job);
        if (reservation == null) {
            return Optional.empty();
        }
        WorkerState worker = workers.get(reservation.worker());
        if (worker != null) {
            change(worker, reservation.kind(), -1, Resources.NONE, reservation.size());
        }
        return Optional.of(reservation);
    }

    /**
     * Keeps workers for a kind whose jobs find no room, those with most free space first. They
     * receive no other kind until the hold expires.
     *
     * @param request the request of a job of the kind
     * @param score the cost of each worker; one of infinite cost is not kept
     * @param count how many workers to keep
     * @param untilMillis until when to keep them, in milliseconds
     */
    public void hold(PlacementRequest request, PlacementScore score, int count, long untilMillis) {
        int kind = kinds.number(request.kind());
        int most = Math.max(1, workers.size() / WORKERS_PER_HOLD);
        int missing = Math.min(count - holds.of(request.kind()).size(), most - holds.size());
        for (int each = 0; each < missing; each++) {
            WorkerState best = null;
            for (int sample = 0; sample < HOLD_SAMPLES; sample++) {
                WorkerState worker = anyWorker(request.places());
                boolean better =
                        best == null
                                || worker == null
                                || worker.reservedShare() < best.reservedShare();
                if (better && worker != null && holdable(worker, kind, request, score)) {
                    best = worker;
                }
            }
            if (best != null) {
                zoneOf(best).unindex(best);
                holds.add(request.kind(), best);
            }
        }
        holds.extend(request.kind(), untilMillis);
    }

    /**
     * Gives up the holds that have expired.
     *
     * @param nowMillis the time, in milliseconds
     */
    public void expireHolds(long nowMillis) {
        if (holds.size() > 0) {
            holds.expire(nowMillis).forEach(worker -> zoneOf(worker).index(worker));
        }
    }

    /**
     * Returns the state of a worker.
     *
     * @param id the worker
     * @return the state, or null if the worker is unknown
     */
    public @Nullable WorkerState worker(WorkerId id) {
        return workers.get(id);
    }

    /**
     * Returns the reservation of a job.
     *
     * @param job the job
     * @return the reservation, or null if there is none
     */
    public @Nullable Reservation reservation(JobId job) {
        return reservations.get(job);
    }

    /**
     * Returns the number of workers.
     *
     * @return the number
     */
    public int size() {
        return workers.size();
    }

    /**
     * Tells whether a worker can be kept for a kind.
     *
     * @param worker the worker
     * @param kind the number of the kind
     * @param request the request
     * @param score the cost of each worker
     * @return whether it can
     */
    private static boolean holdable(
            WorkerState worker, int kind, PlacementRequest request, PlacementScore score) {
        return worker.available()
                && request.size().fitsWithin(worker.spec().capacity())
                && score.cost(kind, request, worker) < Double.POSITIVE_INFINITY;
    }

    /**
     * Returns the worker of least cost among those gathered.
     *
     * @param request the request
     * @param score the cost of each worker
     * @return the worker, or empty if all costs are infinite
     */
    private Optional<WorkerId> leastCost(PlacementRequest request, PlacementScore score) {
        int kind = kinds.number(request.kind());
        WorkerState best = null;
        double bestCost = Double.POSITIVE_INFINITY;
        for (WorkerState worker : candidates.workers()) {
            double cost = score.cost(kind, request, worker);
            if (cost < bestCost) {
                best = worker;
                bestCost = cost;
            }
        }
        return best == null ? Optional.empty() : Optional.of(best.spec().id());
    }

    /**
     * Gathers workers with room from the zones allowed, beginning at a random zone.
     *
     * @param request the request
     */
    private void gather(PlacementRequest request) {
        candidates.reset(request.size().plus(request.leaveFree()));
        List<ZoneName> allowed = request.places().isEmpty() ? zoneNames : request.places();
        if (allowed.isEmpty()) {
            return;
        }
        int perZone = Math.max(1, (samples + allowed.size() - 1) / allowed.size());
        int start = random.nextInt(allowed.size());
        for (int step = 0; step < allowed.size(); step++) {
            ZoneWorkers zone = zones.get(allowed.get((start + step) % allowed.size()));
            if (zone != null) {
                zone.gather(candidates, perZone, random);
            }
        }
    }

    /**
     * Returns a random worker.
     *
     * @param places the zones allowed, empty for any
     * @return the worker, or null if the zone drawn has none
     */
    private @Nullable WorkerState anyWorker(List<ZoneName> places) {
        List<ZoneName> allowed = places.isEmpty() ? zoneNames : places;
        if (allowed.isEmpty()) {
            return null;
        }
        ZoneWorkers zone = zones.get(allowed.get(random.nextInt(allowed.size())));
        if (zone == null || zone.all().isEmpty()) {
            return null;
        }
        return zone.all().get(random.nextInt(zone.all().size()));
    }

    /**
     * Changes the reservations of a worker and its place in the index of free space.
     *
     * @param worker the worker
     * @param kind the number of the kind
     * @param jobs the jobs to add, negative to remove
     * @param added what is reserved besides
     * @param removed what is no longer reserved
     */
    private void change(
            WorkerState worker, int kind, int jobs, Resources added, Resources removed) {
        ZoneWorkers zone = zoneOf(worker);
        zone.unindex(worker);
        worker.change(kind, jobs, added, removed);
        zone.index(worker);
    }

    /**
     * Returns the zone of a worker.
     *
     * @param worker the worker
     * @return the zone
     */
    private ZoneWorkers zoneOf(WorkerState worker) {
        ZoneWorkers zone = zones.get(worker.spec().zone());
        if (zone == null) {
            throw new IllegalStateException("worker " + worker.spec().id() + " has no zone");
        }
        return zone;
    }
}
