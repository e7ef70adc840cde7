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
public final class InMemoryStore {

    /** The maximum number of items on a page of a listing. */
    private static final int MAX_PAGE_ITEM_COUNT = 500;

    /** The maximum number of conditions, writes and removals of a transaction together. */
    private static final int MAX_TRANSACTION_ENTRIES = 32;

    /** The maximum length of a value of the platform's store, in bytes. */
    private static final int DEFAULT_VALUE_BYTES = 1_048_576;

    /** The clock and timers by which leases expire. */
    private final ProcessRuntime runtime;

    /** The items by key. */
    private final TreeMap<String, StoreItem> items = new TreeMap<>();

    /** The identifiers of the leases by key, for the keys that are bound to a lease. */
    private final Map<String, Long> leaseIdByKey = new HashMap<>();

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
    private long lastLeaseId;

    /** The maximum length of a value, in bytes. */
    private int valueBytes = DEFAULT_VALUE_BYTES;

    /** The sum of the lengths of the values that were written under each key, in bytes. */
    private final Map<String, Long> writtenBytes = new HashMap<>();

    /**
     * Creates an empty store.
     *
     * @param runtime the clock and timers by which leases expire
     */
    public InMemoryStore(ProcessRuntime runtime) {
        this.runtime = runtime;
    }

    /**
     * Adds an action to run after each change.
     *
     * @param listener the action
     */
    public void addChangeListener(Runnable listener) {
        listeners.add(listener);
    }

    /**
     * Changes how long a value may be.
     *
     * @param bytes the maximum length of a value that is written from now on, in bytes
     */
    public void limitValues(int bytes) {
        valueBytes = bytes;
    }

    /**
     * Adds up what was written under the keys with a prefix.
     *
     * @param prefix the prefix of the keys
     * @return the sum of the lengths of all values that were ever written there, in bytes
     */
    public long countWrittenBytes(String prefix) {
        return writtenBytes.entrySet().stream()
                .filter(entry -> entry.getKey().startsWith(prefix))
                .mapToLong(Map.Entry::getValue)
                .sum();
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
        revokeExpiredLeases();
        StoreItem item = items.get(key);
        return item == null
                ? StoreResult.failed(StoreStatus.ABSENT, "no such key")
                : StoreResult.ok(new StoreReading(item, revision));
    }

    /**
     * Reads a page of the items whose keys have a prefix.
     *
     * @param prefix the prefix of the keys
     * @param afterKey the last key of the previous page, empty for the first page
     * @return the page
     */
    public StorePage list(String prefix, String afterKey) {
        revokeExpiredLeases();
        List<StoreItem> page = new ArrayList<>();
        for (StoreItem item : items.tailMap(afterKey.isEmpty() ? prefix : afterKey).values()) {
            if (!item.key().startsWith(prefix) || page.size() > MAX_PAGE_ITEM_COUNT) {
                break;
            }
            if (!item.key().equals(afterKey)) {
                page.add(item);
            }
        }
        boolean more = page.size() > MAX_PAGE_ITEM_COUNT;
        return new StorePage(more ? page.subList(0, MAX_PAGE_ITEM_COUNT) : page, more, revision);
    }

    /**
     * Returns the changes after a revision.
     *
     * @param prefix the prefix of the keys
     * @param afterRevision the revision after which changes are returned
     * @return the changes, COMPACTED if the history since the revision was discarded
     */
    public StoreResult<StoreChanges> changes(String prefix, long afterRevision) {
        revokeExpiredLeases();
        if (afterRevision < compactedRevision) {
            return StoreResult.failed(
                    StoreStatus.COMPACTED, "the history since that revision was discarded");
        }
        List<StoreEvent> found = new ArrayList<>();
        int first = history.size();
        while (first > 0 && history.get(first - 1).revision() > afterRevision) {
            first--;
        }
        for (StoreEvent event : history.subList(first, history.size())) {
            if (event.key().startsWith(prefix)) {
                found.add(event);
            }
        }
        return StoreResult.ok(new StoreChanges(found, revision));
    }

    /**
     * Executes a transaction.
     *
     * @param transaction the transaction
     * @return the new revision, INVALID if the transaction is larger than the limits, CONFLICT with
     *     the current items if a condition does not hold, or ABSENT if a lease does not exist
     */
    public StoreResult<CommitReply> commit(StoreTransaction transaction) {
        revokeExpiredLeases();
        if (exceedsLimits(transaction)) {
            return StoreResult.failed(StoreStatus.INVALID, "the transaction exceeds a limit");
        }
        List<StoreItem> current = new ArrayList<>();
        boolean conditionsHold = true;
        for (Map.Entry<String, Long> condition : transaction.expectedRevisions().entrySet()) {
            StoreItem item = items.get(condition.getKey());
            long actual = item == null ? StoreItem.ABSENT : item.revision();
            conditionsHold &= actual == condition.getValue();
            if (item != null) {
                current.add(item);
            }
        }
        if (!conditionsHold) {
            return new StoreResult<>(
                    StoreStatus.CONFLICT, new CommitReply(0, current), "a condition failed");
        }
        for (StoreTransaction.Write write : transaction.writes().values()) {
            if (write.lease() != 0 && !leases.containsKey(write.lease())) {
                return StoreResult.failed(StoreStatus.ABSENT, "no such lease");
            }
        }
        revision++;
        transaction.writes().forEach(this::put);
        transaction.removals().forEach(this::remove);
        listeners.forEach(Runnable::run);
        return StoreResult.ok(new CommitReply(revision, List.of()));
    }

    /**
     * Returns whether a transaction is larger than the store allows.
     *
     * @param transaction the transaction
     * @return whether it has too many entries or too long a value
     */
    private boolean exceedsLimits(StoreTransaction transaction) {
        int entries =
                transaction.expectedRevisions().size()
                        + transaction.writes().size()
                        + transaction.removals().size();
        return entries > MAX_TRANSACTION_ENTRIES
                || transaction.writes().values().stream()
                        .anyMatch(write -> write.value().length > valueBytes);
    }

    /**
     * Creates a lease.
     *
     * @param ttlMillis the time to live, in milliseconds
     * @return the lease
     */
    public StoreLease grantLease(long ttlMillis) {
        lastLeaseId++;
        leases.put(lastLeaseId, new Lease(ttlMillis, runtime.nowMillis() + ttlMillis));
        runtime.schedule(ttlMillis + 1, this::revokeExpiredLeases);
        return new StoreLease(lastLeaseId, ttlMillis);
    }

    /**
     * Renews a lease.
     *
     * @param id the identifier of the lease
     * @return true if the lease was renewed, false if it does not exist or has expired
     */
    public boolean renewLease(long id) {
        revokeExpiredLeases();
        Lease lease = leases.get(id);
        if (lease == null) {
            return false;
        }
        leases.put(id, new Lease(lease.ttlMillis(), runtime.nowMillis() + lease.ttlMillis()));
        runtime.schedule(lease.ttlMillis() + 1, this::revokeExpiredLeases);
        return true;
    }

    /**
     * Ends a lease and removes the keys that are bound to it.
     *
     * @param id the identifier of the lease; unknown identifiers are ignored
     */
    public void revokeLease(long id) {
        leases.remove(id);
        List<String> boundKeys = new ArrayList<>();
        leaseIdByKey.forEach(
                (key, lease) -> {
                    if (lease == id) {
                        boundKeys.add(key);
                    }
                });
        if (!boundKeys.isEmpty()) {
            revision++;
            boundKeys.forEach(this::remove);
            listeners.forEach(Runnable::run);
        }
    }

    /** Ends all leases, as a store may do after an outage. */
    public void revokeAllLeases() {
        new ArrayList<>(leases.keySet()).forEach(this::revokeLease);
    }

    /** Ends the leases that have expired. */
    private void revokeExpiredLeases() {
        List<Long> expired = new ArrayList<>();
        leases.forEach(
                (id, lease) -> {
                    if (lease.expiresAtMillis() < runtime.nowMillis()) {
                        expired.add(id);
                    }
                });
        expired.forEach(this::revokeLease);
    }

    /**
     * Writes an item at the current revision and binds it to its lease.
     *
     * @param key the key
     * @param write the value and the lease
     */
    private void put(String key, StoreTransaction.Write write) {
        writtenBytes.merge(key, (long) write.value().length, Long::sum);
        StoreItem before = items.get(key);
        long created = before == null ? revision : before.createdRevision();
        StoreItem item = new StoreItem(key, write.value(), revision, created);
        items.put(key, item);
        leaseIdByKey.remove(key);
        if (write.lease() != 0) {
            leaseIdByKey.put(key, write.lease());
        }
        history.add(new StoreEvent(key, revision, item));
    }

    /**
     * Removes an item at the current revision.
     *
     * @param key the key
     */
    private void remove(String key) {
        leaseIdByKey.remove(key);
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
        revokeExpiredLeases();
        StoreItem item = items.get(key);
        return item == null ? null : item.value();
    }

    /**
     * An active lease.
     *
     * @param ttlMillis the time to live, counted from a renewal, in milliseconds
     * @param expiresAtMillis when the lease expires unless it is renewed, in milliseconds
     */
    private record Lease(long ttlMillis, long expiresAtMillis) {}
}
