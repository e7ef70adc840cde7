package org.damasktiller.node.intake;

import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import java.util.ArrayDeque;
import java.util.Queue;
import org.damasktiller.scheduler.port.ProcessRuntime;

/**
 * Limits how many very small parts of bodies are read in an interval, all bodies together, so that
 * bodies in many chunks leave most of the processor to other requests. The bodies that wait take
 * turns.
 */
final class ChunkPacer {

    /** The size below which a part of a body counts as small, in bytes. */
    private static final int SMALL_PART_BYTES = 64;

    /** The number of small parts that are read in an interval. */
    private static final int PARTS_PER_INTERVAL = 2_000;

    /** The length of an interval, in milliseconds. */
    private static final long INTERVAL_MILLIS = 10;

    /** The clock and the timers. */
    private final ProcessRuntime runtime;

    /** The bodies that wait for a later interval. */
    private final Queue<SettablePromise<Void>> waiting = new ArrayDeque<>();

    /** When the current interval began, on the monotonic clock, in milliseconds. */
    private long intervalBeginMillis;

    /** Whether a timer runs at whose end waiting bodies read on. */
    private boolean resumeScheduled;

    /** How many small parts may still be read in the current interval. */
    private int remainingParts = PARTS_PER_INTERVAL;

    /**
     * Creates a pacer.
     *
     * @param runtime the clock and the timers
     */
    ChunkPacer(ProcessRuntime runtime) {
        this.runtime = runtime;
        intervalBeginMillis = runtime.nowMillis();
    }

    /**
     * Counts a part of a body that was read.
     *
     * @param bytes its size, in bytes
     * @return completes when the next part may be read
     */
    Promise<Void> onPart(int bytes) {
        if (bytes >= SMALL_PART_BYTES) {
            return Promise.complete();
        }
        if (remainingParts == 0) {
            beginIntervalIfDue();
        }
        if (remainingParts > 0) {
            remainingParts--;
            return Promise.complete();
        }
        SettablePromise<Void> promise = new SettablePromise<>();
        waiting.add(promise);
        scheduleResume();
        return promise;
    }

    /** Schedules that waiting bodies read on, unless that is scheduled. */
    private void scheduleResume() {
        if (!resumeScheduled) {
            resumeScheduled = true;
            runtime.schedule(INTERVAL_MILLIS, this::resume);
        }
    }

    /** Begins an interval if the last one is over. */
    private void beginIntervalIfDue() {
        long nowMillis = runtime.nowMillis();
        if (nowMillis - intervalBeginMillis >= INTERVAL_MILLIS) {
            intervalBeginMillis = nowMillis;
            remainingParts = PARTS_PER_INTERVAL;
        }
    }

    /** Lets bodies that wait read on, in their order, until the interval has no part left. */
    private void resume() {
        resumeScheduled = false;
        beginIntervalIfDue();
        for (int count = waiting.size(); count > 0 && remainingParts > 0; count--) {
            waiting.remove().set(null);
        }
        if (!waiting.isEmpty()) {
            scheduleResume();
        }
    }
}
