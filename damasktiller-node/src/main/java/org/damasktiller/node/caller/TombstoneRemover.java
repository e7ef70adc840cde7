package org.damasktiller.node.caller;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.BooleanSupplier;
import org.damasktiller.scheduler.cell.CellKeys;
import org.damasktiller.scheduler.port.DecisionLog;
import org.damasktiller.scheduler.port.MetadataStore;
import org.damasktiller.scheduler.port.ProcessRuntime;
import org.damasktiller.scheduler.port.StoreItem;
import org.damasktiller.scheduler.port.StorePage;
import org.damasktiller.scheduler.port.StoreResult;
import org.damasktiller.scheduler.port.StoreStatus;
import org.damasktiller.scheduler.port.StoreTransaction;

/**
 * Removes tombstones that no write of their submissions can meet any more. One process at a time
 * lists them and removes those that it has known long enough by its monotonic clock, one call after
 * the other; a process that takes over begins to count anew. Each removal names the revision that
 * it removes, so that one that the store carries out late removes nothing newer.
 */
public final class TombstoneRemover {

    /**
     * How long a tombstone lasts at least, in milliseconds: ten times as long as the store takes at
     * most to carry out a write without a response.
     */
    static final long SHORTEST_LIFE_MILLIS = 60_000;

    /** The pause between two listings, in milliseconds. */
    static final long LISTING_INTERVAL_MILLIS = 30_000;

    /** The store. */
    private final MetadataStore store;

    /** Tells whether this process is the one that removes tombstones. */
    private final BooleanSupplier responsible;

    /** The clock and the timers. */
    private final ProcessRuntime runtime;

    /** The log. */
    private final DecisionLog log;

    /** The tombstones of the last listing, by their keys. */
    private Map<String, Known> known = new HashMap<>();

    /** The tombstones of the pages of the present listing, by their keys. */
    private Map<String, Known> listed = new HashMap<>();

    /** The tombstones that are to be removed. */
    private final Deque<StoreItem> due = new ArrayDeque<>();

    /**
     * Creates a remover that is not started yet.
     *
     * @param store the store
     * @param responsible tells whether this process is the one that removes tombstones
     * @param runtime the clock and the timers
     * @param log the log
     */
    public TombstoneRemover(
            MetadataStore store,
            BooleanSupplier responsible,
            ProcessRuntime runtime,
            DecisionLog log) {
        this.store = store;
        this.responsible = responsible;
        this.runtime = runtime;
        this.log = log;
    }

    /** Starts to list the tombstones at intervals. */
    public void start() {
        runtime.schedule(LISTING_INTERVAL_MILLIS, this::list);
    }

    /** Lists the tombstones, if this process is the one that removes them. */
    private void list() {
        if (responsible.getAsBoolean()) {
            listed = new HashMap<>();
            readPage("");
        } else {
            known = new HashMap<>();
            start();
        }
    }

    /**
     * Reads a page of the tombstones.
     *
     * @param after the last key of the previous page, empty for the first page
     */
    private void readPage(String after) {
        store.list(CellKeys.TOMBSTONE_PREFIX, after, this::onPage);
    }

    /**
     * Handles a page: reads the next one, or removes what is due after the last one.
     *
     * @param result the page, or the failure
     */
    private void onPage(StoreResult<StorePage> result) {
        if (result.status() != StoreStatus.OK) {
            log.log(
                    "tombstones.not-listed",
                    "status",
                    result.status(),
                    "reason",
                    result.reason(),
                    "known",
                    known.size());
            due.clear();
            start();
            return;
        }
        StorePage page = result.require();
        page.items().forEach(this::note);
        if (page.hasMore() && !page.items().isEmpty()) {
            readPage(page.items().get(page.items().size() - 1).key());
            return;
        }
        known = listed;
        if (!due.isEmpty()) {
            log.log("tombstones.due", "listed", known.size(), "due", due.size());
        }
        removeNext();
    }

    /**
     * Takes note of a tombstone that is stored. One that has been replaced counts as new.
     *
     * @param item the key by which the tombstone is found
     */
    private void note(StoreItem item) {
        Known before = known.get(item.key());
        Known now =
                before != null && before.revision() == item.revision()
                        ? before
                        : new Known(item.revision(), runtime.nowMillis());
        listed.put(item.key(), now);
        if (runtime.nowMillis() - now.sinceMillis() >= SHORTEST_LIFE_MILLIS) {
            due.addLast(item);
        }
    }

    /** Removes the next tombstone that is due, or pauses until the next listing. */
    private void removeNext() {
        StoreItem item = due.pollFirst();
        if (item == null) {
            start();
            return;
        }
        String recordKey =
                CellKeys.submission(item.key().substring(CellKeys.TOMBSTONE_PREFIX.length()));
        StoreTransaction commit =
                new StoreTransaction()
                        .expectRevision(recordKey, item.revision())
                        .remove(recordKey)
                        .remove(item.key());
        store.commit(
                commit,
                result -> {
                    if (result.status() == StoreStatus.CONFLICT) {
                        removeKeyOnly(item, recordKey);
                    } else {
                        onRemoved(item, result.status());
                    }
                });
    }

    /**
     * Goes on with the next tombstone, or after the pause if the store does not answer.
     *
     * @param item the key by which the tombstone was found
     * @param status the result of its removal
     */
    private void onRemoved(StoreItem item, StoreStatus status) {
        if (status != StoreStatus.OK && status != StoreStatus.CONFLICT) {
            log.log("tombstone.not-removed", "key", item.key(), "status", status);
            due.clear();
        }
        removeNext();
    }

    /**
     * Removes the key of a tombstone that is gone: an earlier release has replaced it by one under
     * a lease, which has ended.
     *
     * @param item the key by which the tombstone was found
     * @param recordKey the key of the tombstone itself
     */
    private void removeKeyOnly(StoreItem item, String recordKey) {
        StoreTransaction commit =
                new StoreTransaction()
                        .expectRevision(recordKey, StoreItem.ABSENT)
                        .expectRevision(item.key(), item.revision())
                        .remove(item.key());
        store.commit(
                commit,
                result -> {
                    log.log("tombstone.replaced", "key", item.key(), "status", result.status());
                    onRemoved(item, result.status());
                });
    }

    /**
     * A tombstone that is stored.
     *
     * @param revision its revision
     * @param sinceMillis when this process first saw it at this revision, on the monotonic clock,
     *     in milliseconds
     */
    private record Known(long revision, long sinceMillis) {}
}
