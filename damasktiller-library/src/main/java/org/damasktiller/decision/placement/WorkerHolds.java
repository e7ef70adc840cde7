package org.damasktiller.decision.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import org.damasktiller.identity.KindName;

/** Keeps workers for kinds whose jobs find no room, until the hold expires. */
final class WorkerHolds {

    /** The holds of each kind. */
    private final Map<KindName, Hold> holds = new HashMap<>();

    /** The number of workers kept. */
    private int size;

    /** Creates a record without holds. */
    WorkerHolds() {}

    /**
     * Returns the number of workers kept.
     *
     * @return the number
     */
    int size() {
        return size;
    }

    /**
     * Returns the workers kept for a kind.
     *
     * @param kind the kind
     * @return the workers
     */
    Collection<WorkerState> of(KindName kind) {
        Hold hold = holds.get(kind);
        return hold == null ? List.of() : hold.workers;
    }

    /**
     * Keeps a worker for a kind.
     *
     * @param kind the kind
     * @param worker the worker
     */
    void add(KindName kind, WorkerState worker) {
        holds.computeIfAbsent(kind, key -> new Hold()).workers.add(worker);
        worker.held(true);
        size++;
    }

    /**
     * Sets until when the workers of a kind are kept.
     *
     * @param kind the kind
     * @param untilMillis the time, in milliseconds
     */
    void extend(KindName kind, long untilMillis) {
        Hold hold = holds.get(kind);
        if (hold != null) {
            hold.untilMillis = untilMillis;
        }
    }

    /**
     * Gives up a worker that is gone.
     *
     * @param worker the worker
     */
    void remove(WorkerState worker) {
        for (Hold hold : holds.values()) {
            if (hold.workers.remove(worker)) {
                size--;
            }
        }
        worker.held(false);
    }

    /**
     * Gives up the holds that have expired.
     *
     * @param nowMillis the time, in milliseconds
     * @return the workers that are no longer kept
     */
    List<WorkerState> expire(long nowMillis) {
        List<WorkerState> released = new ArrayList<>();
        Iterator<Hold> all = holds.values().iterator();
        while (all.hasNext()) {
            Hold hold = all.next();
            if (nowMillis >= hold.untilMillis) {
                released.addAll(hold.workers);
                all.remove();
            }
        }
        size -= released.size();
        released.forEach(worker -> worker.held(false));
        return released;
    }

    /** Holds the workers kept for one kind. */
    private static final class Hold {

        /** The workers. */
        private final List<WorkerState> workers = new ArrayList<>();

        /** Until when they are kept, in milliseconds. */
        private long untilMillis;

        /** Creates a record without workers. */
        private Hold() {}
    }
}
