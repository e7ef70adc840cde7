package org.damasktiller.scheduler.cell;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;
import org.damasktiller.scheduler.model.Resources;
import org.damasktiller.scheduler.model.WorkerEntry;
import org.damasktiller.scheduler.port.WorkerAddress;
import org.jspecify.annotations.Nullable;

/**
 * A worker of the cell as known to its owner: registration, leases, runs, and unacknowledged ends.
 */
public final class WorkerRecord {

    /** The time of an event that has not happened. */
    static final long NEVER = Long.MIN_VALUE / 2;

    /** The value of a clock reading that has not been taken. */
    static final long NO_CLOCK = -1;

    /**
     * How long a worker that answers is used although its entry is missing, in milliseconds.
     * Entries that expire during an outage of the store reappear within two seconds.
     */
    private static final long UNLISTED_GRACE_MILLIS = 2_500;

    /**
     * How long after an answer a worker may get starts, in milliseconds. This is two poll waits,
     * and less than a worker needs to restart; a restarted worker has forgotten every fencing
     * token.
     */
    private static final long MAX_ANSWER_AGE_MILLIS = 1_000;

    /**
     * How long a long-running task must be active until a worker that has failed runs gets another
     * start, in milliseconds.
     */
    private static final long ESTABLISHED_MILLIS = 1_000;

    /** The average CPU use of a serving task, as a fraction of its request. */
    private static final double SERVING_CPU_USE_FRACTION = 0.35;

    /** The identifier of the worker. */
    final String id;

    /** The runs that are or may be active on the worker, by key. */
    final Map<RunKey, RunRecord> runs = new LinkedHashMap<>();

    /**
     * The ends that have been applied and wait for a commit before they are acknowledged, in order.
     */
    final Deque<PendingEnd> pendingEnds = new ArrayDeque<>();

    /** Detects whether runs fail because of the worker. */
    final WorkerFailureDetector failureDetector = new WorkerFailureDetector();

    /** Whether the worker is held for a suspect task. */
    final SuspectHold suspectHold = new SuspectHold();

    /** The throttling state of the fillers of the worker. */
    final FillerThrottleState throttleState = new FillerThrottleState();

    /** The last known registration of the worker. */
    WorkerEntry entry;

    /** Whether the store has an entry of the worker. */
    boolean listed = true;

    /** When the entry was found missing, in milliseconds. */
    long unlistedSinceMillis;

    /**
     * Whether the current boot of the worker has answered a poll, and so knows the fencing token of
     * this owner.
     */
    boolean fenced;

    /**
     * When the boot that answered last began, in milliseconds since 1970, or 0 before the first
     * answer.
     */
    long bootUnixMillis;

    /** The last reading of the worker's clock, in milliseconds, or {@link #NO_CLOCK}. */
    long clockMillis = NO_CLOCK;

    /** When that reading arrived, in milliseconds on the owner's clock. */
    long clockReadAtMillis;

    /**
     * The last clock reading from before the start of a successful ownership check, in
     * milliseconds, or {@link #NO_CLOCK}.
     */
    long verifiedClockMillis = NO_CLOCK;

    /**
     * The clock reading at the start of the ownership check in progress, in milliseconds, or {@link
     * #NO_CLOCK}.
     */
    long candidateClockMillis = NO_CLOCK;

    /**
     * The time on the owner's clock by which every lease that this or a previous owner has granted
     * is expired, in milliseconds.
     */
    long leasesExpireAtMillis;

    /** The leases that may reach another boot. */
    final UnconfirmedLeases unconfirmedLeases = new UnconfirmedLeases();

    /** The sequence number of the last end that has been applied. */
    long appliedSequence;

    /** The ends that the worker may forget. */
    final EndAcknowledgement acknowledgement = new EndAcknowledgement();

    /** The resources that the runs reserve. */
    Resources reserved = Resources.NONE;

    /** The number of start requests in flight. */
    int startsInFlight;

    /** The number of the last poll sent. */
    long lastPollNumber;

    /** The number of the last poll whose answer does not count, since the boot is in doubt. */
    long doubtedPollNumber;

    /**
     * The number of consecutive polls without an answer. Polls do not extend the lease while it is
     * not zero.
     */
    int missedPolls;

    /** Whether a poll is in flight. */
    boolean pollInFlight;

    /** When the last poll was sent, in milliseconds. */
    long pollSentAtMillis;

    /** When the worker last answered a poll, in milliseconds, or -1 if it never has. */
    long answeredAtMillis = -1;

    /** The host and the port to which the last poll was sent. */
    String polledAddress = "";

    /**
     * The host and the port at which the worker last answered, or null if it never has. Its entry
     * may name another address, since any client of the store can write to it.
     */
    @Nullable String answeredAddress;

    /** When the poll that it answered last was sent, in milliseconds, or -1 if there is none. */
    long answeredPollSentAtMillis = -1;

    /** When a poll last failed after an answered one, in milliseconds, or {@link #NEVER}. */
    long contactLostAtMillis = NEVER;

    /**
     * The number of runs that may have caused the crash of the worker when it was evaluated, or -1
     * if it was not since the last answer.
     */
    long crashCandidates = -1;

    /** Until when the worker counts as full after it rejected a start, in milliseconds. */
    long fullUntilMillis;

    /**
     * Until when the worker gets no starts after it was unhealthy or did not answer, in
     * milliseconds.
     */
    long avoidUntilMillis;

    /** Until when the worker counts as slow, in milliseconds. */
    long slowUntilMillis;

    /** Until when the worker is slow after its start, in milliseconds. */
    long coldUntilMillis = NEVER;

    /** When the worker was first seen draining, in milliseconds, or -1 if it is not. */
    long drainingSinceMillis = -1;

    /** Whether the stored roster of the cell certainly allows starts on the worker. */
    boolean rosterAllowsStarts;

    /** Whether the stored roster of the cell certainly allows leases for the worker. */
    boolean rosterAllowsLeases;

    /** The sums over the runs. */
    private final RunSums sums = new RunSums();

    /**
     * Creates a record of a worker that has not been polled.
     *
     * @param entry the registration of the worker
     * @param leasesExpireAtMillis the time by which every lease of previous owners is expired, in
     *     milliseconds
     */
    WorkerRecord(WorkerEntry entry, long leasesExpireAtMillis) {
        this.id = entry.id();
        this.entry = entry;
        this.leasesExpireAtMillis = leasesExpireAtMillis;
    }

    /**
     * Returns the address of the worker for calls.
     *
     * @return the identifier and the network address
     */
    WorkerAddress address() {
        return new WorkerAddress(id, entry.address());
    }

    /**
     * Returns the network address of the worker as it is stored.
     *
     * @return the host and the port
     */
    String addressText() {
        return entry.address().getHostString() + ':' + entry.address().getPort();
    }

    /**
     * Returns the resources that no run reserves.
     *
     * @return the free resources, negative where the runs reserve more than the worker has
     */
    Resources freeResources() {
        return entry.capacity().minus(reserved);
    }

    /**
     * Returns whether the free resources of the worker cover an amount. It creates no object, since
     * each pass asks it of every worker for every waiting step.
     *
     * @param need the amount
     * @return whether no resource falls short
     */
    boolean hasRoomFor(Resources need) {
        Resources capacity = entry.capacity();
        return capacity.cpuMillicores() - reserved.cpuMillicores() >= need.cpuMillicores()
                && capacity.memoryMb() - reserved.memoryMb() >= need.memoryMb()
                && capacity.accelerators() - reserved.accelerators() >= need.accelerators();
    }

    /**
     * Returns whether the worker is still slow after its start.
     *
     * @param nowMillis the current time, in milliseconds
     * @return whether it has said so, and the time that it has named is not over
     */
    boolean isCold(long nowMillis) {
        return nowMillis < coldUntilMillis;
    }

    /**
     * Takes over an entry that was read now.
     *
     * @param newEntry the entry
     * @param nowMillis the current time, in milliseconds
     */
    void updateEntry(WorkerEntry newEntry, long nowMillis) {
        entry = newEntry;
        coldUntilMillis =
                newEntry.coldRemainingMillis() > 0
                        ? nowMillis + newEntry.coldRemainingMillis()
                        : NEVER;
    }

    /**
     * Returns which starts the worker gets while runs there may crash it.
     *
     * @return the strictest quarantine of a run
     */
    Quarantine quarantine() {
        return sums.quarantine();
    }

    /**
     * Returns whether the free resources of the worker are known.
     *
     * @return whether no run there reserves an unknown amount
     */
    boolean isRoomKnown() {
        return sums.unsizedRuns() == 0;
    }

    /**
     * Returns whether a run has yet to show whether the worker fails it. A long-running task that
     * has been active for some time does not: it may go on for good.
     *
     * @return whether one of the runs has not been active for long enough, or ends by itself
     */
    boolean hasProbe() {
        for (RunRecord run : runs.values()) {
            if (!run.isLongRunning() || run.knownActiveMillis() < ESTABLISHED_MILLIS) {
                return true;
            }
        }
        return false;
    }

    /**
     * Records that a run is not likely to crash the worker, or is over.
     *
     * @param record the run
     */
    void endQuarantine(RunRecord record) {
        sums.endQuarantine(record);
    }

    /**
     * Returns whether this worker answers at the address of another one, whose process therefore is
     * gone. A poll that was sent after the last answer of the other one must show it, since answers
     * may overtake each other.
     *
     * @param other the other worker
     * @return whether this one has answered there after the other one did
     */
    boolean hasReplaced(WorkerRecord other) {
        return this != other
                && fenced
                && answeredAddress != null
                && answeredAddress.equals(other.answeredAddress)
                && answeredPollSentAtMillis > other.answeredAtMillis;
    }

    /**
     * Returns whether the worker does not answer, or was found to have crashed.
     *
     * @return whether it has missed polls or its crash was evaluated
     */
    boolean isLost() {
        return missedPolls > 0 || crashCandidates >= 0;
    }

    /**
     * Returns whether the worker was about to leave when it was last heard of.
     *
     * @return whether it is or was draining
     */
    boolean wasDraining() {
        return entry.draining() || drainingSinceMillis >= 0;
    }

    /**
     * Returns the CPU that long-running tasks reserve.
     *
     * @return the CPU, in millicores
     */
    long longRunningMillicores() {
        return sums.longRunningMillicores();
    }

    /**
     * Returns the CPU that the fillers request.
     *
     * @return the CPU, in millicores
     */
    long fillerMillicores() {
        return sums.fillerMillicores();
    }

    /**
     * Estimates the CPU that the tasks other than fillers leave idle.
     *
     * @return the CPU, in millicores
     */
    long idleMillicores() {
        long unused = (long) (sums.servingMillicores() * (1 - SERVING_CPU_USE_FRACTION));
        return entry.capacity().cpuMillicores() - reserved.cpuMillicores() + unused;
    }

    /**
     * Adds a run and reserves its resources.
     *
     * @param record the run
     */
    void addRun(RunRecord record) {
        if (runs.put(record.key(), record) == null) {
            reserved = reserved.plus(record.reserved);
            sums.add(record);
            throttleState.predictedImpacts.clear();
        }
        if (record.task != null && !record.task.runs.contains(record)) {
            record.task.runs.add(record);
            record.task.step.occurrence.job.runCount++;
        }
    }

    /**
     * Removes a run and releases its resources.
     *
     * @param record the run
     */
    void removeRun(RunRecord record) {
        if (runs.remove(record.key()) != null) {
            reserved = reserved.minus(record.reserved);
            sums.remove(record);
            throttleState.predictedImpacts.clear();
        }
        if (record.task != null && record.task.runs.remove(record)) {
            record.task.step.occurrence.job.runCount--;
        }
    }

    /**
     * Advances the acknowledged sequence number past the ends whose changes are stored.
     *
     * <p>The end of a run that a previous owner started is kept until that owner can no longer
     * start the task. The previous owner may act on outdated knowledge at a worker that has not
     * seen a newer fencing token. If the worker had already forgotten the end, it would accept that
     * start as a second run.
     *
     * @param previousOwnersFenced whether previous owners can no longer start anything
     * @param runNumberBase the highest number of a run that a previous owner can have used
     */
    void advanceAcknowledgement(boolean previousOwnersFenced, int runNumberBase) {
        while (!pendingEnds.isEmpty()) {
            PendingEnd first = pendingEnds.peekFirst();
            if (!first.isStored()
                    || (!previousOwnersFenced && first.mayBeOfPreviousOwner(runNumberBase))) {
                return;
            }
            acknowledgement.advance(first.sequence());
            pendingEnds.removeFirst();
        }
    }

    /**
     * Returns whether the worker is registered and answers.
     *
     * @param nowMillis the current time, in milliseconds
     * @return whether it is registered, and has answered its last poll or any poll recently
     */
    boolean isReachable(long nowMillis) {
        return isRegistered(nowMillis) && isAnswering(nowMillis);
    }

    /**
     * Returns whether the worker answers.
     *
     * @param nowMillis the current time, in milliseconds
     * @return whether it has answered its last poll or any poll recently
     */
    boolean isAnswering(long nowMillis) {
        return missedPolls == 0 || nowMillis - answeredAtMillis <= MAX_ANSWER_AGE_MILLIS;
    }

    /**
     * Returns when nothing can be active on the worker any more if it gets no further leases.
     *
     * @return the end of its leases, or the time until which an unanswered start may arrive if that
     *     is later, in milliseconds on the owner's clock
     */
    long runsExpireAtMillis() {
        long expireAtMillis = leasesExpireAtMillis;
        for (RunRecord run : runs.values()) {
            if (run.mayArrive()) {
                expireAtMillis =
                        Math.max(
                                expireAtMillis,
                                run.trackedSinceMillis + RunRequestSender.MAX_ARRIVAL_DELAY_MILLIS);
            }
        }
        return expireAtMillis;
    }

    /**
     * Returns whether the worker may get starts.
     *
     * @param nowMillis the current time, in milliseconds
     * @return whether the worker is registered, has answered recently in its current boot, is open
     *     in the stored roster, has a verified clock reading, and is neither draining nor avoided
     */
    boolean isUsable(long nowMillis) {
        return isRegistered(nowMillis)
                && fenced
                && nowMillis - answeredAtMillis <= MAX_ANSWER_AGE_MILLIS
                && rosterAllowsStarts
                && !entry.draining()
                && verifiedClockMillis != NO_CLOCK
                && nowMillis >= avoidUntilMillis;
    }

    /**
     * Returns whether the store has, or had a short time ago, an entry of the worker.
     *
     * @param nowMillis the current time, in milliseconds
     * @return whether the worker counts as registered
     */
    private boolean isRegistered(long nowMillis) {
        return listed || nowMillis - unlistedSinceMillis < UNLISTED_GRACE_MILLIS;
    }
}
