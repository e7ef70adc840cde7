package org.damasktiller.standin.metadata;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.damasktiller.scheduler.port.CommitReply;
import org.damasktiller.scheduler.port.ProcessRuntime;
import org.damasktiller.scheduler.port.StoreChanges;
import org.damasktiller.scheduler.port.StoreEvent;
import org.damasktiller.scheduler.port.StoreItem;
import org.damasktiller.scheduler.port.StoreLease;
import org.damasktiller.scheduler.port.StorePage;
import org.damasktiller.scheduler.port.StoreReading;
import org.damasktiller.scheduler.port.StoreResult;
import org.damasktiller.scheduler.port.StoreStatus;
import org.damasktiller.scheduler.port.StoreTransaction;
import org.jspecify.annotations.Nullable;

/** The items, leases and history of a store. Calls take effect at once and in order. */
public final class StoreModel {

    /** The most items of a page. */
    private static final int PAGE_ITEMS = 500;

    /** The clock. */
    private final ProcessRuntime runtime;

    /** The items by key. */
    private final TreeMap<String, StoreItem> items = new TreeMap<>();

    /** The lease of each key that has one. */
    private final Map<String, Long> keyLeases = new HashMap<>();

    /** The leases by number. */
    private final Map<Long, Lease> leases = new TreeMap<>();

    /** The changes that are kept, in order. */
    private final List<StoreEvent> history = new ArrayList<>();

    /** Run after each change. */
    private final List<Runnable> listeners = new ArrayList<>();

    /** The revision. */
    private long revision = 1;

    /** The revision up to which the history is gone. */
    private long compactedRevision;

    /** The number of the last lease. */
    private long lastLease;

    /**
     * Creates an empty store.
     *
     * @param runtime the clock
     */
    public StoreModel(ProcessRuntime runtime) {
        this.runtime = runtime;
    }

    /**
     * Adds an action to run after each change.
     *
     * @param listener the action
     */
    public void onChange(Runnable listener) {
        listeners.add(listener);
    }

    /** Forgets the history. */
    public void compact() {
        history.clear();
        compactedRevision = revision;
    }

    /**
     * Reads a key.
     *
     * @param key the key
     * @return the reading
     */
    public StoreResult<StoreReading> read(String key) {
        expire();
        StoreItem item = items.get(key);
        return item == null
                ? StoreResult.failed(StoreStatus.ABSENT, "no such key")
                : StoreResult.ok(new StoreReading(item, revision));
    }

    /**
     * Reads a page.
     *
     * @param prefix the prefix of the keys
     * @param after the key after which the page begins, empty for the first
     * @return the page
     */
    public StorePage list(String prefix, String after) {
        expire();
        List<StoreItem> page = new ArrayList<>();
        for (StoreItem item : items.tailMap(after.isEmpty() ? prefix : after).values()) {
            if (!item.key().startsWith(prefix) || page.size() > PAGE_ITEMS) {
                break;
            }
            if (!item.key().equals(after)) {
                page.add(item);
            }
        }
        boolean more = page.size() > PAGE_ITEMS;
        return new StorePage(more ? page.subList(0, PAGE_ITEMS) : page, more, revision);
    }

    /**
     * Returns the changes after a revision.
     *
     * @param prefix the prefix of the keys
     * @param after the revision
     * @return the changes; COMPACTED if they are no longer kept
     */
    public StoreResult<StoreChanges> changes(String prefix, long after) {
        expire();
        if (after < compactedRevision) {
            return StoreResult.failed(StoreStatus.COMPACTED, "history is gone");
        }
        List<StoreEvent> found = new ArrayList<>();
        for (StoreEvent event : history) {
            if (event.revision() > after && event.key().startsWith(prefix)) {
                found.add(event);
            }
        }
        return StoreResult.ok(new StoreChanges(found, revision));
    }

    /**
     * Carries out a transaction.
     *
     * @param commit the transaction
     * @return the reply
     */
    public StoreResult<CommitReply> commit(StoreTransaction commit) {
        expire();
        List<StoreItem> current = new ArrayList<>();
        boolean holds = true;
        for (Map.Entry<String, Long> condition : commit.expectedRevisions().entrySet()) {
            StoreItem item = items.get(condition.getKey());
            long actual = item == null ? StoreItem.ABSENT : item.revision();
            holds &= actual == condition.getValue();
            if (item != null) {
                current.add(item);
            }
        }
        if (!holds) {
            return new StoreResult<>(
                    StoreStatus.CONFLICT, new CommitReply(0, current), "a condition failed");
        }
        for (StoreTransaction.Write write : commit.writes().values()) {
            if (write.lease() != 0 && !leases.containsKey(write.lease())) {
                return StoreResult.failed(StoreStatus.ABSENT, "no such lease");
            }
        }
        revision++;
        commit.writes().forEach(this::put);
        commit.removals().forEach(this::remove);
        listeners.forEach(Runnable::run);
        return StoreResult.ok(new CommitReply(revision, List.of()));
    }

    /**
     * Takes out a lease.
     *
     * @param ttlMillis its life, in milliseconds
     * @return the lease
     */
    public StoreLease grant(long ttlMillis) {
        lastLease++;
        leases.put(lastLease, new Lease(ttlMillis, runtime.nowMillis() + ttlMillis));
        runtime.schedule(ttlMillis + 1, this::expire);
        return new StoreLease(lastLease, ttlMillis);
    }

    /**
     * Renews a lease.
     *
     * @param id its number
     * @return whether it was alive
     */
    public boolean keep(long id) {
        expire();
        Lease lease = leases.get(id);
        if (lease == null) {
            return false;
        }
        leases.put(id, new Lease(lease.ttlMillis(), runtime.nowMillis() + lease.ttlMillis()));
        runtime.schedule(lease.ttlMillis() + 1, this::expire);
        return true;
    }

    /**
     * Ends a lease and removes its keys.
     *
     * @param id its number
     */
    public void end(long id) {
        leases.remove(id);
        List<String> gone = new ArrayList<>();
        keyLeases.forEach(
                (key, lease) -> {
                    if (lease == id) {
                        gone.add(key);
                    }
                });
        if (!gone.isEmpty()) {
            revision++;
            gone.forEach(this::remove);
            listeners.forEach(Runnable::run);
        }
    }

    /** Ends every lease at once, as a store may that was away. */
    public void endLeases() {
        new ArrayList<>(leases.keySet()).forEach(this::end);
    }

    /** Ends the leases whose time is over. */
    private void expire() {
        List<Long> over = new ArrayList<>();
        leases.forEach(
                (id, lease) -> {
                    if (lease.endMillis() < runtime.nowMillis()) {
                        over.add(id);
                    }
                });
        over.forEach(this::end);
    }

    /**
     * Writes an item at the present revision.
     *
     * @param key the key
     * @param write the value and the lease
     */
    private void put(String key, StoreTransaction.Write write) {
        StoreItem before = items.get(key);
        long created = before == null ? revision : before.createdRevision();
        StoreItem item = new StoreItem(key, write.value(), revision, created);
        items.put(key, item);
        keyLeases.remove(key);
        if (write.lease() != 0) {
            keyLeases.put(key, write.lease());
        }
        history.add(new StoreEvent(key, revision, item));
    }

    /**
     * Removes an item at the present revision.
     *
     * @param key the key
     */
    private void remove(String key) {
        keyLeases.remove(key);
        if (items.remove(key) != null) {
            history.add(new StoreEvent(key, revision, null));
        }
    }

    /**
     * Returns the value of a key.
     *
     * @param key the key
     * @return the value, or null if the key does not exist
     */
    public byte @Nullable [] value(String key) {
        expire();
        StoreItem item = items.get(key);
        return item == null ? null : item.value();
    }

    /**
     * A lease.
     *
     * @param ttlMillis its life from a renewal, in milliseconds
     * @param endMillis when it ends, in milliseconds
     */
    private record Lease(long ttlMillis, long endMillis) {}
}
