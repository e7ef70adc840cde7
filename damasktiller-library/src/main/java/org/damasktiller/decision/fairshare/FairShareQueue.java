package org.damasktiller.decision.fairshare;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;
import org.damasktiller.decision.DominantShare;
import org.damasktiller.error.DamasktillerException;
import org.damasktiller.error.ErrorCode;
import org.damasktiller.error.Outcome;
import org.damasktiller.error.Step;
import org.damasktiller.identity.JobId;
import org.damasktiller.identity.KindName;
import org.damasktiller.identity.TenantName;
import org.damasktiller.resource.Resources;
import org.damasktiller.table.KindOfWork;
import org.jspecify.annotations.Nullable;

/**
 * Chooses the job to start next. Urgent kinds go first, then kinds below their guaranteed minimum,
 * then interactive kinds, then batch kinds; within a rank the kind with the least virtual time (its
 * dominant share over time divided by its weight) is chosen. The expected run time is charged at
 * the start and corrected at the end. A job that cannot be placed holds up no other size or kind.
 *
 * <p>The caller opens a round, then asks for the next job and answers with {@code started}, {@code
 * refusedForRoom} or {@code refusedForHarm} until none is left. A choice costs O(log n), a
 * cancellation O(1). Not safe for use by several threads.
 */
public final class FairShareQueue {

    /** The order of kinds. */
    private static final Comparator<KindQueue> ORDER =
            Comparator.<KindQueue>comparingInt(kind -> kind.orderRank)
                    .thenComparingDouble(kind -> kind.orderTime)
                    .thenComparing(kind -> kind.row.name());

    /** The jobs by which a kind may be behind its share before room is kept for it. */
    private static final int LEAST_OWED = 1;

    /** The most jobs of a kind for which room is kept. */
    private static final int MOST_OWED = 1000;

    /** The virtual time that is never reached. */
    private static final double NO_BAR = Double.POSITIVE_INFINITY;

    /** The least charge of a job, in whole-fleet milliseconds. */
    private static final double SMALLEST_CHARGE = 1e-3;

    /** How long jobs may wait before they are preferred. */
    private final AgingRule aging;

    /** The kinds by name. */
    private final Map<KindName, KindQueue> kinds = new HashMap<>();

    /** The kinds that may be tried, in order. */
    private final TreeSet<KindQueue> ready = new TreeSet<>(ORDER);

    /** The kinds passed over for the rest of the round. */
    private final List<KindQueue> parked = new ArrayList<>();

    /** The waiting jobs. */
    private final Map<JobId, QueuedJob> waiting = new HashMap<>();

    /** The running jobs. */
    private final Map<JobId, RunningJob> running = new HashMap<>();

    /** The usage and quotas of tenants. */
    private final TenantUsage tenants = new TenantUsage();

    /** The virtual time of the last choice in each rank, the least that a new entrant gets. */
    private final TreeMap<Integer, Double> floors = new TreeMap<>();

    /** The virtual time in each rank beyond which no kind starts jobs in this round. */
    private final Map<Integer, Double> bars = new HashMap<>();

    /** The capacity of the fleet. */
    private Resources capacity;

    /** The number of jobs submitted so far. */
    private long sequence;

    /** The number of starts so far. */
    private long starts;

    /**
     * Creates a queue without kinds.
     *
     * @param capacity the capacity of the fleet
     * @param aging how long jobs may wait before they are preferred
     */
    public FairShareQueue(Resources capacity, AgingRule aging) {
        this.capacity = capacity;
        this.aging = aging;
    }

    /**
     * Sets the capacity of the fleet, of which the shares are parts.
     *
     * @param value the capacity
     */
    public void capacity(Resources value) {
        capacity = value;
    }

    /**
     * Adds or changes a kind of work.
     *
     * @param row the row of the table
     * @param nowMillis the time, in milliseconds
     */
    public void putKind(KindOfWork row, long nowMillis) {
        KindQueue kind = kinds.get(row.name());
        if (kind == null) {
            kinds.put(row.name(), new KindQueue(row, nowMillis));
            return;
        }
        tenants.move(kind.row.tenant(), row.tenant(), kind.used);
        if (kind.row.ratePerSecond() != row.ratePerSecond()) {
            kind.rate = new StartRate(row.ratePerSecond(), nowMillis);
        }
        kind.row = row;
        reorder(kind);
    }

    /**
     * Sets the quota of a tenant.
     *
     * @param tenant the tenant
     * @param limit the most that its running jobs may reserve together
     */
    public void putQuota(TenantName tenant, Resources limit) {
        tenants.putQuota(tenant, limit);
    }

    /**
     * Adds a waiting job. Adding a job that is already waiting or running changes nothing.
     *
     * @param job the job
     * @throws DamasktillerException if the kind is unknown
     */
    public void submit(PendingJob job) {
        KindQueue kind = kinds.get(job.kind());
        if (kind == null) {
            throw new DamasktillerException(
                    ErrorCode.UNKNOWN_KIND,
                    Step.ADMIT,
                    "",
                    Outcome.NOT_RUN,
                    "the table has no kind " + job.kind());
        }
        if (waiting.containsKey(job.id()) || running.containsKey(job.id())) {
            return;
        }
        boolean idle = kind.pending == 0;
        waiting.put(job.id(), kind.add(job, ++sequence));
        if (idle) {
            liftToFloor(kind);
        }
        reorder(kind);
    }

    /**
     * Removes a waiting job.
     *
     * @param id the job
     * @return whether it was waiting
     */
    public boolean cancel(JobId id) {
        QueuedJob entry = waiting.remove(id);
        if (entry == null) {
            return false;
        }
        entry.owner.kind.remove(entry);
        return true;
    }

    /** Opens a round: all that was passed over in the last round may be tried again. */
    public void beginRound() {
        bars.clear();
        for (KindQueue kind : kinds.values()) {
            kind.reopen();
        }
        for (KindQueue kind : parked) {
            kind.parked = false;
            reorder(kind);
        }
        parked.clear();
    }

    /**
     * Returns the job to start next. The caller answers with {@code started} or one of the
     * refusals.
     *
     * @param nowMillis the time, in milliseconds
     * @return the job, or empty if no more can start in this round
     */
    public Optional<PendingJob> next(long nowMillis) {
        QueuedJob aged = starts % aging.choiceInterval() == 0 ? agedHead(nowMillis) : null;
        if (aged != null) {
            return Optional.of(aged.job);
        }
        while (!ready.isEmpty()) {
            KindQueue kind = ready.first();
            QueuedJob head = kind.head();
            if (head == null || kind.orderTime > bars.getOrDefault(kind.orderRank, NO_BAR)) {
                passOver(kind);
            } else if (!withinLimits(kind, nowMillis)) {
                passOver(kind);
                liftToFloor(kind);
            } else if (!tenants.allows(kind.row.tenant(), head.job.size())) {
                kind.refuse(head.owner);
            } else {
                return Optional.of(head.job);
            }
        }
        return Optional.empty();
    }

    /**
     * Records that no worker has room for a job; its size is passed over for the rest of the round.
     * If room for its size comes soon, kinds that are ahead of it do not take that room while it is
     * behind its share, for a bounded time.
     *
     * @param job the job
     * @param soon whether the size is small enough that room for it comes soon
     * @param nowMillis the time, in milliseconds
     * @return for how many jobs of the kind room should be kept, since the kind is behind its share
     *     by about as many or the job has waited long; zero if for none
     */
    public int refusedForRoom(PendingJob job, boolean soon, long nowMillis) {
        QueuedJob entry = waiting.get(job.id());
        if (entry == null) {
            return 0;
        }
        KindQueue kind = entry.owner.kind;
        kind.refuse(entry.owner);
        double behind = floors.getOrDefault(kind.orderRank, 0.0) - kind.virtualTime;
        double one = Math.max(kind.lastCharge, SMALLEST_CHARGE);
        int owed = (int) Math.min(MOST_OWED, behind / one);
        if (soon && owed > LEAST_OWED && kind.mayBar(nowMillis)) {
            bars.merge(kind.orderRank, kind.virtualTime + LEAST_OWED * one, Math::min);
        }
        if (nowMillis - job.submittedMillis() >= aging.waitMillis()) {
            return Math.max(1, owed);
        }
        return owed > LEAST_OWED && !soon ? owed : 0;
    }

    /**
     * Records that a job must not run on any worker that has room; its size is passed over for the
     * rest of the round, and its kind gathers no credit for a share that it may not use.
     *
     * @param job the job
     */
    public void refusedForHarm(PendingJob job) {
        QueuedJob entry = waiting.get(job.id());
        if (entry != null) {
            entry.owner.kind.refuse(entry.owner);
            liftToFloor(entry.owner.kind);
        }
    }

    /**
     * Records a start.
     *
     * @param id the job, which must be waiting
     * @param reserved what is reserved for it
     * @param expectedMillis the expected run time, in milliseconds
     * @param nowMillis the time, in milliseconds
     */
    public void started(JobId id, Resources reserved, long expectedMillis, long nowMillis) {
        QueuedJob entry = waiting.remove(id);
        if (entry == null) {
            throw new IllegalStateException("job " + id + " is not waiting");
        }
        KindQueue kind = entry.owner.kind;
        kind.remove(entry);
        kind.rate.take();
        kind.barredMillis = 0;
        starts++;
        if (!ready.isEmpty() && ready.first() == kind) {
            floors.merge(kind.orderRank, kind.virtualTime, Math::max);
        }
        running.put(id, new RunningJob(kind, reserved, expectedMillis, nowMillis));
        kind.running++;
        use(kind, kind.used.plus(reserved), reserved, Resources.NONE);
        double before = kind.virtualTime;
        charge(kind, reserved, expectedMillis);
        kind.lastCharge = kind.virtualTime - before;
        reorder(kind);
    }

    /**
     * Records a new size of the reservation of a running job.
     *
     * @param id the job
     * @param reserved what is reserved from now on
     * @param nowMillis the time, in milliseconds
     */
    public void resized(JobId id, Resources reserved, long nowMillis) {
        RunningJob job = running.get(id);
        if (job == null) {
            return;
        }
        long elapsed = settle(job, nowMillis);
        long rest = Math.max(0, job.chargedMillis() - elapsed);
        KindQueue kind = job.kind();
        running.put(id, new RunningJob(kind, reserved, rest, nowMillis));
        use(kind, kind.used.minus(job.reserved()).plus(reserved), reserved, job.reserved());
        charge(kind, reserved, rest);
        reorder(kind);
    }

    /**
     * Charges a running job for what it ran beyond the time that was charged ahead.
     *
     * @param id the job
     * @param nowMillis the time, in milliseconds
     */
    public void chargeOverrun(JobId id, long nowMillis) {
        RunningJob job = running.get(id);
        if (job != null && nowMillis - job.sinceMillis() > job.chargedMillis()) {
            resized(id, job.reserved(), nowMillis);
        }
    }

    /**
     * Records the end of a running job, whether finished, failed or evicted.
     *
     * @param id the job
     * @param nowMillis the time, in milliseconds
     */
    public void ended(JobId id, long nowMillis) {
        RunningJob job = running.remove(id);
        if (job == null) {
            return;
        }
        settle(job, nowMillis);
        KindQueue kind = job.kind();
        kind.running--;
        use(kind, kind.used.minus(job.reserved()), Resources.NONE, job.reserved());
        reorder(kind);
    }

    /**
     * Returns the number of waiting jobs.
     *
     * @return the number
     */
    public int pending() {
        return waiting.size();
    }

    /**
     * Reads back what each kind has received. Takes time in proportion to the running jobs.
     *
     * @param nowMillis the time, in milliseconds
     * @return the readings in order of the names
     */
    public List<ShareReading> shares(long nowMillis) {
        return new ShareReader(capacity, nowMillis).read(kinds.values(), running.values());
    }

    /**
     * Returns the longest waiting aged job that may start.
     *
     * @param nowMillis the time, in milliseconds
     * @return the job, or null if there is none
     */
    private @Nullable QueuedJob agedHead(long nowMillis) {
        QueuedJob oldest = null;
        for (KindQueue kind : ready) {
            QueuedJob head = kind.head();
            if (head == null || nowMillis - head.job.submittedMillis() < aging.waitMillis()) {
                continue;
            }
            boolean older = oldest == null || head.sequence < oldest.sequence;
            if (older
                    && withinLimits(kind, nowMillis)
                    && tenants.allows(kind.row.tenant(), head.job.size())) {
                oldest = head;
            }
        }
        return oldest;
    }

    /**
     * Tells whether a kind is within its limits of running jobs and starts a second.
     *
     * @param kind the kind
     * @param nowMillis the time, in milliseconds
     * @return whether one more may start
     */
    private static boolean withinLimits(KindQueue kind, long nowMillis) {
        int limit = kind.row.runningLimit();
        return (limit == 0 || kind.running < limit)
                && kind.rate.allows(kind.row.ratePerSecond(), nowMillis);
    }

    /**
     * Passes a kind over for the rest of the round, or until its next job if none waits.
     *
     * @param kind the kind
     */
    private void passOver(KindQueue kind) {
        ready.remove(kind);
        if (kind.pending > 0) {
            kind.parked = true;
            parked.add(kind);
        }
    }

    /**
     * Lifts the virtual time of a kind that had no work or stood at its own limit to that of the
     * others, so that it gathers no credit.
     *
     * @param kind the kind
     */
    private void liftToFloor(KindQueue kind) {
        double floor = floors.getOrDefault(kind.rank(capacity), 0.0);
        kind.virtualTime = Math.max(kind.virtualTime, floor);
    }

    /**
     * Puts a kind at its place in the order, or takes it out if nothing waits.
     *
     * @param kind the kind
     */
    private void reorder(KindQueue kind) {
        ready.remove(kind);
        if (kind.pending == 0 || kind.parked) {
            return;
        }
        kind.orderRank = kind.rank(capacity);
        kind.orderTime = kind.virtualTime;
        ready.add(kind);
    }

    /**
     * Adds the cost of a reservation to the virtual time of a kind.
     *
     * @param kind the kind
     * @param reserved the reservation
     * @param millis for how long, in milliseconds; negative to give back
     */
    private void charge(KindQueue kind, Resources reserved, long millis) {
        double share = DominantShare.of(reserved, capacity);
        kind.virtualTime += share * millis / kind.row.weight();
    }

    /**
     * Replaces the run time charged for a job by the one seen.
     *
     * @param job the job
     * @param nowMillis the time, in milliseconds
     * @return the run time seen, in milliseconds
     */
    private long settle(RunningJob job, long nowMillis) {
        long elapsed = Math.max(0, nowMillis - job.sinceMillis());
        charge(job.kind(), job.reserved(), elapsed - job.chargedMillis());
        job.kind().consumedMillis += DominantShare.of(job.reserved(), capacity) * elapsed;
        return elapsed;
    }

    /**
     * Changes the usage of a kind and its tenant.
     *
     * @param kind the kind
     * @param used the new usage of the kind
     * @param added what was added
     * @param removed what was removed
     */
    private void use(KindQueue kind, Resources used, Resources added, Resources removed) {
        kind.used = used;
        tenants.change(kind.row.tenant(), added, removed);
    }
}
