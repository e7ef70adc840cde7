package org.damasktiller.store;

import io.activej.promise.Promise;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import org.damasktiller.error.DamasktillerException;
import org.damasktiller.error.ErrorCode;
import org.damasktiller.error.Operation;
import org.damasktiller.error.Outcome;

/** An in-memory store whose outages and write faults are set by the test. */
public final class FakeStore implements KeyValueStore {

    /** The fault injected into a write of the head. */
    public enum Fault {
        /** The write is applied and answered. */
        NONE,
        /** The write is applied but its answer is lost. */
        LOST_ANSWER,
        /** The write is applied, its answer is lost and the store is down from then on. */
        LOST_ANSWER_THEN_DOWN,
        /** The write is lost before it is applied, so there is no answer either. */
        LOST_WRITE,
        /** The write gets no answer and is applied just before the next write of any key. */
        LATE_WRITE
    }

    /** The stored values in the order of their keys. */
    private final TreeMap<String, StoredValue> values = new TreeMap<>();

    /** The faults of the next writes of the head, in order; no fault once empty. */
    private final Deque<Fault> headWriteFaults = new ArrayDeque<>();

    /** Actions that run before the next writes of the head, one per write. */
    private final Deque<Runnable> headWriteHooks = new ArrayDeque<>();

    /** Delayed writes that have not been applied yet. */
    private final List<SwapRequest> delayedWrites = new ArrayList<>();

    /** The revision of the latest write. */
    private long revision;

    /** Whether every call fails as unavailable. */
    private boolean down;

    /** The number of calls so far, including failed ones. */
    private int callCount;

    public void setDown(boolean value) {
        down = value;
    }

    public void faultNextHeadWrites(Fault... next) {
        headWriteFaults.addAll(List.of(next));
    }

    public void beforeNextHeadWrite(Runnable action) {
        headWriteHooks.add(action);
    }

    public SortedMap<String, StoredValue> copyValues() {
        return new TreeMap<>(values);
    }

    public void restore(SortedMap<String, StoredValue> older) {
        values.clear();
        values.putAll(older);
    }

    public int callCount() {
        return callCount;
    }

    @Override
    public Promise<Optional<StoredValue>> get(String key) {
        callCount++;
        return down ? unavailable() : Promise.of(Optional.ofNullable(values.get(key)));
    }

    @Override
    public Promise<List<StoredValue>> list(String prefix) {
        callCount++;
        return down
                ? unavailable()
                : Promise.of(
                        values.tailMap(prefix, true).values().stream()
                                .filter(value -> value.key().startsWith(prefix))
                                .toList());
    }

    @Override
    public Promise<SwapResult> compareAndSwap(SwapRequest request) {
        callCount++;
        boolean head = request.key().endsWith("/head");
        if (head && !headWriteHooks.isEmpty()) {
            headWriteHooks.remove().run();
        }
        if (down) {
            return unavailable();
        }
        delayedWrites.forEach(this::apply);
        delayedWrites.clear();
        Fault fault = head && !headWriteFaults.isEmpty() ? headWriteFaults.remove() : Fault.NONE;
        if (fault == Fault.LATE_WRITE) {
            delayedWrites.add(request);
        }
        if (fault == Fault.LOST_ANSWER || fault == Fault.LOST_ANSWER_THEN_DOWN) {
            apply(request);
            down = fault == Fault.LOST_ANSWER_THEN_DOWN;
        }
        return fault == Fault.NONE ? Promise.of(apply(request)) : unavailable();
    }

    private SwapResult apply(SwapRequest request) {
        StoredValue current = values.get(request.key());
        if ((current == null ? 0 : current.revision()) != request.expectedRevision()) {
            return new SwapResult(false, 0, current);
        }
        revision++;
        byte[] bytes = request.value();
        if (bytes == null) {
            values.remove(request.key());
        } else if (bytes.length > 1_000_000) {
            throw new IllegalStateException("value of " + bytes.length + " bytes");
        } else {
            values.put(request.key(), new StoredValue(request.key(), bytes, revision));
        }
        return new SwapResult(true, revision, null);
    }

    private static <T> Promise<T> unavailable() {
        return Promise.ofException(
                new DamasktillerException(
                        ErrorCode.STORE_UNAVAILABLE,
                        Operation.COMMIT,
                        "store",
                        Outcome.OUTCOME_UNKNOWN,
                        "no answer"));
    }
}
