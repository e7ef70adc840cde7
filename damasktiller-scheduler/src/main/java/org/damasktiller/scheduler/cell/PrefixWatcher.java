package org.damasktiller.scheduler.cell;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
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
 * Watches the keys with a prefix: reads them all, then polls for changes. When the store has
 * already compacted the changes since the last call, all keys are read again. An item that the
 * listener can't handle is logged and skipped, and the watch goes on.
 */
public final class PrefixWatcher {

    /**
     * How long one call waits for a change, in milliseconds; short, since an open call may report
     * nothing although keys have changed.
     */
    private static final long WAIT_MILLIS = 1_500;

    /**
     * The delay after a failed call, in milliseconds: several attempts during a one-second outage.
     */
    private static final long RETRY_MILLIS = 150;

    /** The prefix of the watched keys. */
    private final String prefix;

    /**
     * The delay between a change and the next call, in milliseconds, which groups changes into one
     * answer.
     */
    private final long groupingMillis;

    /** The metadata store. */
    private final MetadataStore store;

    /** The timers. */
    private final ProcessRuntime runtime;

    /** The log of lost and regained watches. */
    private final DecisionLog log;

    /** Called with the items and changes. */
    private final Listener listener;

    /** Keeps the watch alive whatever the listener does with an item. */
    private final ItemGuard guard;

    /** Whether changes are polled at intervals at present. */
    private BooleanSupplier polling = () -> false;

    /** The interval between polls, in milliseconds. */
    private long pollIntervalMillis;

    /** When the call in flight was sent, on the monotonic clock, in milliseconds. */
    private long sentMillis;

    /** When the last answered call was sent, on the monotonic clock, in milliseconds. */
    private long confirmedMillis;

    /**
     * When changes were last known otherwise than by an answer, on the monotonic clock, in
     * milliseconds.
     */
    private long skippedMillis;

    /** The items of the pages read since the last start. */
    private List<StoreItem> items = new ArrayList<>();

    /**
     * The revision after which changes are requested: first that of the first page, then of the
     * last answer.
     */
    private long watchRevision;

    /** The highest revision of the pages read since the last start. */
    private long highestRevision;

    /** Whether the watcher was closed. */
    private boolean closed;

    /** The number of calls that have failed since the last answer. */
    private int failures;

    /** When the last answer arrived, on the monotonic clock, in milliseconds. */
    private long answeredMillis;

    /** The time between the last two answers, in milliseconds. */
    private long answerGapMillis;

    /**
     * Creates a watcher that has not started.
     *
     * @param prefix the prefix of the watched keys
     * @param groupingMillis the delay between a change and the next call, in milliseconds; 0 for
     *     none
     * @param store the metadata store
     * @param runtime the timers
     * @param log the log of lost and regained watches
     * @param listener called with the items and changes
     */
    public PrefixWatcher(
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
        this.guard = new ItemGuard(prefix, log);
        this.answeredMillis = runtime.nowMillis();
    }

    /** Reads all keys, then watches for changes; also restarts after a failure. */
    public void start() {
        items = new ArrayList<>();
        watchRevision = 0;
        highestRevision = 0;
        readPage("");
    }

    /**
     * Polls for changes at intervals, instead of waiting for them, while a condition holds.
     *
     * @param condition evaluated before each call
     * @param intervalMillis the interval between polls, in milliseconds; it begins anew when the
     *     caller knows of a change otherwise, see {@link #skipTo}
     */
    public void pollWhile(BooleanSupplier condition, long intervalMillis) {
        polling = condition;
        pollIntervalMillis = intervalMillis;
    }

    /**
     * Requests no changes up to a revision any more, since the caller knows them already.
     *
     * @param revision the revision; nothing happens if changes up to it have been reported
     */
    public void skipTo(long revision) {
        if (revision > watchRevision) {
            watchRevision = revision;
            skippedMillis = runtime.nowMillis();
        }
    }

    /**
     * Returns how long the store had not answered before its last answer.
     *
     * @return the time between the last two answers, in milliseconds; before there were two, the
     *     time since the watcher was created
     */
    public long answerGapMillis() {
        return answerGapMillis;
    }

    /**
     * Tells whether the store is not being followed at present.
     *
     * @return whether the last call failed
     */
    public boolean isFailing() {
        return failures > 0;
    }

    /**
     * Returns when the store last answered.
     *
     * @return the time of the last answer, or of the creation of this watcher, on the monotonic
     *     clock, in milliseconds
     */
    public long answeredAtMillis() {
        return answeredMillis;
    }

    /**
     * Returns at which moment the reported keys were certainly up to date.
     *
     * @return when the last answered call was sent, on the monotonic clock, in milliseconds; 0
     *     before the first answer
     */
    long confirmedAtMillis() {
        return confirmedMillis;
    }

    /** Stops watching; the listener is not called again. */
    public void close() {
        closed = true;
    }

    /**
     * Reads a page of the keys.
     *
     * @param after the last key of the previous page, empty for the first page
     */
    private void readPage(String after) {
        if (!closed) {
            sentMillis = runtime.nowMillis();
            store.list(prefix, after, this::onPage);
        }
    }

    /**
     * Handles a page: requests the next one, or reports all items after the last one. A failure
     * starts again at the first page.
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
        for (StoreItem item : page.items()) {
            items.add(item);
            int index = items.size() - 1;
            guard.run(item.key(), item.revision(), () -> items.set(index, listener.onListed(item)));
        }
        if (watchRevision == 0) {
            watchRevision = page.storeRevision();
        }
        highestRevision = Math.max(highestRevision, page.storeRevision());
        if (page.hasMore() && !page.items().isEmpty()) {
            readPage(page.items().get(page.items().size() - 1).key());
            return;
        }
        Snapshot snapshot = new Snapshot(items, highestRevision, guard);
        items = new ArrayList<>();
        guard.runForAll(highestRevision, () -> listener.onSnapshot(snapshot));
        awaitChanges();
    }

    /** Requests the changes since the last answer and waits for one if there are none. */
    private void awaitChanges() {
        if (!closed) {
            long waitMillis = polling.getAsBoolean() ? 0 : WAIT_MILLIS;
            sentMillis = runtime.nowMillis();
            store.watch(prefix, watchRevision, waitMillis, this::onChanges);
        }
    }

    /** Requests changes again after an answer, at once or when the next poll is due. */
    private void awaitChangesWhenDue() {
        long dueMillis = Math.max(answeredMillis, skippedMillis) + pollIntervalMillis;
        long pauseMillis = polling.getAsBoolean() ? dueMillis - runtime.nowMillis() : 0;
        if (pauseMillis > 0) {
            runtime.schedule(pauseMillis, this::awaitChangesWhenDue);
        } else {
            awaitChanges();
        }
    }

    /**
     * Handles the answer to a watch call.
     *
     * @param result the changes, none if the wait has timed out
     */
    private void onChanges(StoreResult<StoreChanges> result) {
        if (closed) {
            return;
        }
        if (result.status() == StoreStatus.COMPACTED) {
            log.log("watch.compacted", "prefix", prefix, "revision", watchRevision);
            start();
            return;
        }
        if (result.status() != StoreStatus.OK) {
            noteFailure(result.status(), result.reason());
            runtime.schedule(RETRY_MILLIS, this::awaitChanges);
            return;
        }
        noteSuccess();
        StoreChanges changes = result.require();
        watchRevision = Math.max(watchRevision, changes.storeRevision());
        if (changes.events().isEmpty()) {
            awaitChangesWhenDue();
            return;
        }
        for (StoreEvent event : changes.events()) {
            if (!closed) {
                guard.run(event.key(), event.revision(), () -> listener.onChange(event));
            }
        }
        runtime.schedule(groupingMillis, this::awaitChangesWhenDue);
    }

    /**
     * Records a failed call and logs it if the previous call succeeded.
     *
     * @param status how the call ended
     * @param reason what the client observed, for the log
     */
    private void noteFailure(StoreStatus status, String reason) {
        if (failures == 0) {
            log.log(
                    "watch.lost",
                    "prefix",
                    prefix,
                    "status",
                    status,
                    "reason",
                    reason,
                    "answeredAgo",
                    runtime.nowMillis() - answeredMillis);
        }
        failures++;
    }

    /** Records an answer and logs it if the previous call failed. */
    private void noteSuccess() {
        long nowMillis = runtime.nowMillis();
        answerGapMillis = nowMillis - answeredMillis;
        answeredMillis = nowMillis;
        confirmedMillis = sentMillis;
        if (failures > 0) {
            log.log(
                    "watch.regained",
                    "prefix",
                    prefix,
                    "revision",
                    watchRevision,
                    "answeredAgo",
                    answerGapMillis,
                    "failures",
                    failures);
            failures = 0;
        }
    }

    /** Called with the items and changes of a watched prefix. */
    public interface Listener {

        /**
         * Called with each item as its page is read, before all of them are reported.
         *
         * @param item the item
         * @return the item to report later, which may lack a value that is not needed any more
         */
        default StoreItem onListed(StoreItem item) {
            return item;
        }

        /**
         * Called with all items, on start and after changes were missed. Keys without an item did
         * not exist when their page was read.
         *
         * @param snapshot the items
         */
        void onSnapshot(Snapshot snapshot);

        /**
         * Called for each change, in the order of the revisions.
         *
         * @param event the change
         */
        void onChange(StoreEvent event);
    }
}
