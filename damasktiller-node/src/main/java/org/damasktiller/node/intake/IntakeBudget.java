package org.damasktiller.node.intake;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;
import org.damasktiller.scheduler.port.ProcessRuntime;

/**
 * Divides the memory for requests among their bodies and incomplete heads, called holdings here.
 * When it is used up, the incomplete one that holds most and has made no progress for longest is
 * given up first. Runs on the thread of the event loop.
 */
public final class IntakeBudget {

    /** The interval between two checks for bodies that make no progress, in milliseconds. */
    private static final long CHECK_MILLIS = 500;

    /** Puts the body first that holds most without progress; the product of size and time. */
    private final Comparator<IntakeHolding> mostWithoutProgress;

    /** The limits. */
    private final IntakeLimits limits;

    /** The clock and the timers. */
    private final ProcessRuntime runtime;

    /** The bodies that have not been read to their ends, in the order of their begin. */
    private final Set<IntakeHolding> incomplete = new LinkedHashSet<>();

    /** The bodies that were given up and whose connections are open, in the order of that. */
    private final Set<IntakeHolding> givenUp = new LinkedHashSet<>();

    /** The memory that all bodies hold, in bytes. */
    private long usedBytes;

    /** The part of it that large bodies hold, in bytes. */
    private long usedLargeBytes;

    /** Whether a check is scheduled. */
    private boolean checkScheduled;

    /**
     * Creates a budget of which nothing is used.
     *
     * @param limits the limits
     * @param runtime the clock and the timers
     */
    public IntakeBudget(IntakeLimits limits, ProcessRuntime runtime) {
        this.limits = limits;
        this.runtime = runtime;
        mostWithoutProgress =
                Comparator.<IntakeHolding>comparingLong(
                                holding ->
                                        holding.bytes()
                                                * (runtime.nowMillis()
                                                        - holding.lastProgressMillis()))
                        .thenComparingLong(IntakeHolding::bytes);
    }

    /**
     * Returns the limits.
     *
     * @return the limits
     */
    IntakeLimits limits() {
        return limits;
    }

    /**
     * Returns the memory that all bodies hold.
     *
     * @return the size, in bytes
     */
    long usedBytes() {
        return usedBytes;
    }

    /**
     * Adds a body that has not been read yet.
     *
     * @param holding the body
     */
    void begin(IntakeHolding holding) {
        incomplete.add(holding);
        scheduleCheck();
    }

    /**
     * Takes a body off the incomplete ones, as all of it has been read.
     *
     * @param holding the body
     */
    void complete(IntakeHolding holding) {
        incomplete.remove(holding);
    }

    /**
     * Takes a body off the incomplete ones that is not read any more, and releases its memory.
     *
     * @param holding the body, whose connection is still open
     */
    void abandon(IntakeHolding holding) {
        incomplete.remove(holding);
        release(holding);
        givenUp.add(holding);
    }

    /**
     * Forgets a body whose connection has ended or can be used for the next request.
     *
     * @param holding the body
     */
    void end(IntakeHolding holding) {
        givenUp.remove(holding);
    }

    /**
     * Changes how much memory a body holds. If there is no room for it, incomplete bodies are given
     * up until there is.
     *
     * @param holding the body
     * @param bytes the memory that it needs, in bytes
     * @return whether it has that; if not, it holds as much as before
     */
    boolean tryHold(IntakeHolding holding, long bytes) {
        while (!fits(holding, bytes)) {
            Optional<IntakeHolding> victim = victimFor(holding, bytes);
            if (victim.isEmpty()) {
                return false;
            }
            victim.get().giveUp(BodyRejection.NO_ROOM);
        }
        set(holding, bytes);
        return true;
    }

    /**
     * Releases the memory of a body.
     *
     * @param holding the body
     */
    void release(IntakeHolding holding) {
        set(holding, 0);
    }

    /**
     * Closes a connection to make room for another one: that of a body that was given up, or that
     * of the incomplete body that holds most without progress.
     *
     * @return whether there was one
     */
    public boolean closeConnection() {
        Optional<IntakeHolding> victim =
                givenUp.isEmpty()
                        ? incomplete.stream().max(mostWithoutProgress)
                        : Optional.of(givenUp.iterator().next());
        victim.ifPresent(
                holding -> {
                    if (incomplete.contains(holding)) {
                        holding.giveUp(BodyRejection.CONNECTION_NEEDED);
                    }
                    givenUp.remove(holding);
                    holding.closeConnection();
                });
        return victim.isPresent();
    }

    /**
     * Returns whether a body may hold a size beside all others.
     *
     * @param holding the body
     * @param bytes the size, in bytes
     * @return whether there is room
     */
    private boolean fits(IntakeHolding holding, long bytes) {
        return usedBytes - holding.bytes() + bytes <= limits.bodyBytes()
                && !exceedsLargeShare(holding, bytes);
    }

    /**
     * Returns whether a body would exceed the share of large bodies.
     *
     * @param holding the body
     * @param bytes the size that it needs, in bytes
     * @return whether there is no room among the large bodies
     */
    private boolean exceedsLargeShare(IntakeHolding holding, long bytes) {
        long large = IntakeHolding.largePart(bytes);
        return large > 0 && usedLargeBytes - holding.largeBytes() + large > limits.largeBodyBytes();
    }

    /**
     * Chooses the body that makes room for another one.
     *
     * @param holding the body that needs room
     * @param bytes the size that it needs, in bytes
     * @return the body to give up, empty if none helps
     */
    private Optional<IntakeHolding> victimFor(IntakeHolding holding, long bytes) {
        boolean onlyLarge = exceedsLargeShare(holding, bytes);
        return incomplete.stream()
                .filter(other -> other != holding && other.bytes() > 0)
                .filter(other -> !onlyLarge || other.largeBytes() > 0)
                .max(mostWithoutProgress);
    }

    /**
     * Sets how much memory a body holds.
     *
     * @param holding the body
     * @param bytes the size, in bytes
     */
    private void set(IntakeHolding holding, long bytes) {
        usedBytes -= holding.bytes();
        usedLargeBytes -= holding.largeBytes();
        holding.setBytes(bytes);
        usedBytes += holding.bytes();
        usedLargeBytes += holding.largeBytes();
    }

    /** Schedules a check of the incomplete bodies, unless one is scheduled. */
    private void scheduleCheck() {
        if (!checkScheduled) {
            checkScheduled = true;
            runtime.schedule(CHECK_MILLIS, this::check);
        }
    }

    /** Gives up the bodies that have stopped or take too long. */
    private void check() {
        checkScheduled = false;
        long nowMillis = runtime.nowMillis();
        for (IntakeHolding holding : new ArrayList<>(incomplete)) {
            if (nowMillis >= holding.dueMillis()) {
                holding.giveUp(BodyRejection.TOO_SLOW);
            } else if (nowMillis - holding.lastProgressMillis() >= limits.idleMillis()) {
                holding.giveUp(BodyRejection.STALLED);
            }
        }
        if (!incomplete.isEmpty()) {
            scheduleCheck();
        }
    }
}
