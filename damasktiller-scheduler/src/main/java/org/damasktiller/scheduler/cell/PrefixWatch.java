package org.damasktiller.scheduler.cell;

import java.util.ArrayList;
import java.util.List;
import org.damasktiller.scheduler.port.DecisionLog;
import org.damasktiller.scheduler.port.MetadataStore;
import org.damasktiller.scheduler.port.ProcessRuntime;
import org.damasktiller.scheduler.port.StoreChanges;
import org.damasktiller.scheduler.port.StoreEvent;
import org.damasktiller.scheduler.port.StoreItem;
import org.damasktiller.scheduler.port.StorePage;
import org.damasktiller.scheduler.port.StoreResult;
import org.damasktiller.scheduler.port.StoreStatus;

/**
 * Follows the keys with a prefix: reads them all, then waits for changes, and reads them all again
 * when the store no longer has the changes in between.
 */
public final class PrefixWatch {

    /** How long one call waits for a change, in milliseconds; short, since a watch may be mute. */
    private static final long WAIT_MILLIS = 1_500;

    /** The pause after a failed call, in milliseconds: a few tries in an outage of a second. */
    private static final long RETRY_MILLIS = 150;

    /** The prefix. */
    private final String prefix;

    /**
     * The pause between a change and the next call, in milliseconds, so that changes are grouped.
     */
    private final long groupingMillis;

    /** The store. */
    private final MetadataStore store;

    /** The timers. */
    private final ProcessRuntime runtime;

    /** The log. */
    private final DecisionLog log;

    /** Takes what is read. */
    private final Listener listener;

    /** The items of the pages read so far. */
    private List<StoreItem> items = new ArrayList<>();

    /** The lowest revision of the pages read, from which changes are wanted. */
    private long lowestRevision;

    /** The highest revision of the pages read. */
    private long highestRevision;

    /** Whether the watch has ended. */
    private boolean closed;

    /** Whether the last call failed. */
    private boolean failing;

    /**
     * Creates a watch that has not begun.
     *
     * @param prefix the prefix
     * @param groupingMillis the pause between a change and the next call, in milliseconds
     * @param store the store
     * @param runtime the timers
     * @param log the log
     * @param listener takes what is read
     */
    public PrefixWatch(
            String prefix,
            long groupingMillis,
            MetadataStore store,
            ProcessRuntime runtime,
            DecisionLog log,
            Listener listener) {
        this.prefix = prefix;
        this.groupingMillis = groupingMillis;
        this.store = store;
        this.runtime = runtime;
        this.log = log;
        this.listener = listener;
    }

    /** Begins to read. */
    public void start() {
        items = new ArrayList<>();
        lowestRevision = 0;
        highestRevision = 0;
        list("");
    }

    /** Ends the watch; nothing more is reported. */
    public void close() {
        closed = true;
    }

    /**
     * Reads a page.
     *
     * @param after the key after which it begins
     */
    private void list(String after) {
        if (!closed) {
            store.list(prefix, after, this::onPage);
        }
    }

    /**
     * Takes a page.
     *
     * @param result the page
     */
    private void onPage(StoreResult<StorePage> result) {
        if (closed) {
            return;
        }
        if (result.status() != StoreStatus.OK) {
            noteFailure(result.status(), result.reason());
            runtime.schedule(RETRY_MILLIS, this::start);
            return;
        }
        noteSuccess();
        StorePage page = result.require();
        items.addAll(page.items());
        if (lowestRevision == 0) {
            lowestRevision = page.storeRevision();
        }
        highestRevision = Math.max(highestRevision, page.storeRevision());
        if (page.hasMore() && !page.items().isEmpty()) {
            list(page.items().get(page.items().size() - 1).key());
            return;
        }
        listener.onSnapshot(items, highestRevision);
        items = new ArrayList<>();
        await();
    }

    /** Waits for a change. */
    private void await() {
        if (!closed) {
            store.watch(prefix, lowestRevision, WAIT_MILLIS, this::onChanges);
        }
    }

    /**
     * Takes changes.
     *
     * @param result the changes
     */
    private void onChanges(StoreResult<StoreChanges> result) {
        if (closed) {
            return;
        }
        if (result.status() == StoreStatus.COMPACTED) {
            log.log("watch.compacted", "prefix", prefix, "revision", lowestRevision);
            start();
            return;
        }
        if (result.status() != StoreStatus.OK) {
            noteFailure(result.status(), result.reason());
            runtime.schedule(RETRY_MILLIS, this::await);
            return;
        }
        noteSuccess();
        StoreChanges changes = result.require();
        lowestRevision = Math.max(lowestRevision, changes.storeRevision());
        if (changes.events().isEmpty()) {
            await();
            return;
        }
        for (StoreEvent event : changes.events()) {
            if (!closed) {
                listener.onChange(event);
            }
        }
        runtime.schedule(groupingMillis, this::await);
    }

    /**
     * Notes a failed call, with a line for the first of a row.
     *
     * @param status how it ended
     * @param reason what the client saw
     */
    private void noteFailure(StoreStatus status, String reason) {
        if (!failing) {
            failing = true;
            log.log("watch.lost", "prefix", prefix, "status", status, "reason", reason);
        }
    }

    /** Notes a call that was answered. */
    private void noteSuccess() {
        if (failing) {
            failing = false;
            log.log("watch.regained", "prefix", prefix, "revision", lowestRevision);
        }
    }

    /** Takes what a watch reads. */
    public interface Listener {

        /**
         * Takes all items; keys that are not among them do not exist.
         *
         * @param items the items
         * @param highestRevision the revision of the last page read; a change up to it may be
         *     reported again
         */
        void onSnapshot(List<StoreItem> items, long highestRevision);

        /**
         * Takes a change.
         *
         * @param event the change
         */
        void onChange(StoreEvent event);
    }
}
