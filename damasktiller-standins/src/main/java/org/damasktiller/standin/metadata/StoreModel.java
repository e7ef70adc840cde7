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

/**
 * An in-memory store with the items, leases and history of changes of the platform's store. Calls
 * take effect immediately and in the order in which they are made.
 */
public final class StoreModel {

    /** The maximum number of items on a page of a listing. */
    private static final int PAGE_ITEMS = 500;

    /** The clock and timers by which leases expire. */
    private final ProcessRuntime runtime;

    /** The items by key. */
    private final TreeMap<String, StoreItem> items = new TreeMap<>();

    /** The identifiers of the leases by key, for the keys that are bound to a lease. */
    private final Map<String, Long> keyLeases = new HashMap<>();

    /** The active leases by identifier. */
    private final Map<Long, Lease> leases = new TreeMap<>();

    /** The changes since the last compaction, in the order of their revisions. */
    private final List<StoreEvent> history = new ArrayList<>();

    /** The actions to run after each transaction or removal of keys. */
    private final List<Runnable> listeners = new ArrayList<>();

    /** The current revision, incremented by each transaction. */
    private long revision = 1;

    /** The revision up to which the history was discarded. */
    private long compactedRevision;

    /** The identifier of the lease that was created last. */
    private long lastLease;

    /**
     * Creates an empty store.
     *
     * @param runtime the clock and timers by which leases expire
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

    /** Discards the history of changes, so that watches from earlier revisions fail. */
    public void compact() {
        history.clear();
        compactedRevision = revision;
    }

    /**
     * Reads a key.
     *
     * @param key the key
     * @return the item with the current revision, ABSENT if the key does not exist
     */
    public StoreResult<StoreReading> read(String key) {
        expire();
        StoreItem item = items.get(key);
        return item == null
                ? StoreResult.failed(StoreStatus.ABSENT, "no such key")
                : StoreResult.ok(new StoreReading(item, revision));
    }

    /**
     * Reads a page of the items whose keys have a prefix.
     *
     * @param prefix the prefix of the keys
     * @param after the last key of the previous page, empty for the first page
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
     * @param after the revision after which changes are returned
     * @return the changes, COMPACTED if the history since the revision was discarded
     */
    public StoreResult<StoreChanges> changes(String prefix, long after) {
        expire();
        if (after < compactedRevision) {
            return StoreResult.failed(
                    StoreStatus.COMPACTED, "the history since that revision was discarded");
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
     * Executes a transaction.
     *
     * @param commit the transaction
     * @return the new revision, CONFLICT with the current items if a condition does not hold, or
     *     ABSENT if a lease does not exist
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
     * Creates a lease.
     *
     * @param ttlMillis the time to live, in milliseconds
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
     * @param id the identifier of the lease
     * @return true if the lease was renewed, false if it does not exist or has expired
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
     * Ends a lease and removes the keys that are bound to it.
     *
     * @param id the identifier of the lease; unknown identifiers are ignored
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

    /** Ends all leases, as a store may do after an outage. */
    public void endLeases() {
        new ArrayList<>(leases.keySet()).forEach(this::end);
    }

    /** Ends the leases that have expired. */
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
     * Writes an item at the current revision and binds it to its lease.
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
     * Removes an item at the current revision.
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
     * An active lease.
     *
     * @param ttlMillis the time to live, counted from a renewal, in milliseconds
     * @param endMillis when the lease expires unless it is renewed, in milliseconds
     */
    private record Lease(long ttlMillis, long endMillis) {}
}
