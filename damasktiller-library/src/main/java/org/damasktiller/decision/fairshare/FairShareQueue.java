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
 * <p>The caller opens a round, then asks for the next job and answers with {@code started} or
 * {@code refused} until none is left. A choice costs O(log n), a cancellation O(1). Not safe for
 * use by several threads.
 */
public final class FairShareQueue {

    /** The order of kinds. */
    private static final Comparator<KindQueue> ORDER =
            Comparator.<KindQueue>comparingInt(kind -> kind.orderRank)
                    .thenComparingDouble(kind -> kind.orderTime)
                    .thenComparing(kind -> kind.row.name());

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

    /** The quotas of tenants that have one. */
    private final Map<TenantName, Resources> quotas = new HashMap<>();

    /** What the running jobs of each tenant reserve. */
    private final Map<TenantName, Resources> tenantUse = new HashMap<>();

    /** The virtual time of the last choice in each rank, the least that a new entrant gets. */
    private final TreeMap<Integer, Double> floors = new TreeMap<>();

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
        moveTenantUse(kind, row.tenant());
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
        quotas.put(tenant, limit);
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
     * Returns the job to start next. The caller answers with {@code started} or {@code refused}.
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
            if (head == null) {
                passOver(kind);
            } else if (!withinLimits(kind, nowMillis)) {
                passOver(kind);
                liftToFloor(kind);
            } else if (!withinQuota(kind, head.job.size())) {
                kind.refuse(head.owner);
            } else {
                return Optional.of(head.job);
            }
        }
        return Optional.empty();
    }

    /**
     * Records that a job cannot be placed now; its size is passed over for the rest of the round.
     *
     * @param job the job
     * @param nowMillis the time, in milliseconds
     * @return whether the job has waited so long that room should be kept for it
     */
    public boolean refused(PendingJob job, long nowMillis) {
        QueuedJob entry = waiting.get(job.id());
        if (entry != null) {
            entry.owner.kind.refuse(entry.owner);
        }
        return nowMillis - job.submittedMillis() >= aging.waitMillis();
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
        starts++;
        if (!ready.isEmpty() && ready.first() == kind) {
            floors.merge(kind.orderRank, kind.virtualTime, Math::max);
        }
        running.put(id, new RunningJob(kind, reserved, expectedMillis, nowMillis));
        kind.running++;
        use(kind, kind.used.plus(reserved), reserved, Resources.NONE);
        charge(kind, reserved, expectedMillis);
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
        Map<KindQueue, Double> consumed = new HashMap<>();
        for (RunningJob job : running.values()) {
            double share = DominantShare.of(job.reserved(), capacity);
            consumed.merge(job.kind(), share * (nowMillis - job.sinceMillis()), Double::sum);
        }
        return kinds.values().stream()
                .sorted(Comparator.comparing(kind -> kind.row.name()))
                .map(kind -> reading(kind, consumed.getOrDefault(kind, 0.0), nowMillis))
                .toList();
    }

    /**
     * Builds the reading of one kind.
     *
     * @param kind the kind
     * @param unsettled the share of its running jobs not yet added, in whole-fleet milliseconds
     * @param nowMillis the time, in milliseconds
     * @return the reading
     */
    private ShareReading reading(KindQueue kind, double unsettled, long nowMillis) {
        return new ShareReading(
                kind.row.name(),
                kind.row.weight(),
                kind.consumedMillis + unsettled,
                DominantShare.of(kind.used, capacity),
                kind.running,
                kind.pending,
                nowMillis - kind.oldestMillis(nowMillis));
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
            if (older && withinLimits(kind, nowMillis) && withinQuota(kind, head.job.size())) {
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
     * Tells whether one more job fits within the quota of its tenant.
     *
     * @param kind the kind of the job
     * @param size the size of the job
     * @return whether it fits
     */
    private boolean withinQuota(KindQueue kind, Resources size) {
        Resources quota = quotas.get(kind.row.tenant());
        if (quota == null) {
            return true;
        }
        Resources used = tenantUse.getOrDefault(kind.row.tenant(), Resources.NONE);
        return used.plus(size).fitsWithin(quota);
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
        TenantName tenant = kind.row.tenant();
        Resources before = tenantUse.getOrDefault(tenant, Resources.NONE);
        tenantUse.put(tenant, before.plus(added).minus(removed));
    }

    /**
     * Moves the usage of a kind to another tenant.
     *
     * @param kind the kind
     * @param tenant the tenant it belongs to from now on
     */
    private void moveTenantUse(KindQueue kind, TenantName tenant) {
        TenantName before = kind.row.tenant();
        if (before.equals(tenant)) {
            return;
        }
        tenantUse.computeIfPresent(before, (name, used) -> used.minus(kind.used));
        tenantUse.merge(tenant, kind.used, Resources::plus);
    }
}
