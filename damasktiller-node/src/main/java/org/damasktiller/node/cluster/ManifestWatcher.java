package org.damasktiller.node.cluster;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.damasktiller.scheduler.cell.PrefixWatcher;
import org.damasktiller.scheduler.cell.Snapshot;
import org.damasktiller.scheduler.model.Manifest;
import org.damasktiller.scheduler.port.DecisionLog;
import org.damasktiller.scheduler.port.MetadataStore;
import org.damasktiller.scheduler.port.PlatformRecordDecoder;
import org.damasktiller.scheduler.port.ProcessRuntime;
import org.damasktiller.scheduler.port.StoreChanges;
import org.damasktiller.scheduler.port.StoreEvent;
import org.damasktiller.scheduler.port.StoreItem;
import org.damasktiller.scheduler.port.StoreReading;
import org.damasktiller.scheduler.port.StoreResult;
import org.damasktiller.scheduler.port.StoreStatus;
import org.jspecify.annotations.Nullable;

/**
 * Knows the current version of the operator's manifest and notifies a listener of each new one.
 * Versions come from the operator's key in the store, and as changes that another process has
 * published. A process far from the store reads the key at intervals only, so that it usually
 * receives changes instead of whole versions. Versions with an older revision are ignored, so that
 * the current manifest never goes back.
 */
public final class ManifestWatcher implements PrefixWatcher.Listener {

    /** The pause after a change before the next watch call, in milliseconds; it batches changes. */
    private static final long BATCHING_DELAY_MILLIS = 20;

    /**
     * How long a process far from the store goes without a version before it reads the operator's
     * key, in milliseconds.
     */
    private static final long FAR_POLL_MILLIS = 2_000;

    /** How many published changes are kept until the version before them is known. */
    private static final int MAX_PENDING_CHANGES = 32;

    /** The store. */
    private final MetadataStore store;

    /** Decodes the manifest and knows its key. */
    private final PlatformRecordDecoder formats;

    /** The log. */
    private final DecisionLog log;

    /** Receives the versions. */
    private final ManifestListener listener;

    /** Watches the key of the manifest. */
    private final PrefixWatcher watch;

    /** The published changes that may lead to later versions, in the order of their arrival. */
    private final Deque<ManifestChange> pendingChanges = new ArrayDeque<>();

    /** The current manifest, or null before the first one has been read. */
    private @Nullable Manifest manifest;

    /** The store's revision of the current manifest. */
    private long revision;

    /** Whether a read outside the watch has no result yet. */
    private boolean readPending;

    /**
     * Creates a watcher that is not started yet.
     *
     * @param store the store
     * @param formats decodes the manifest and knows its key
     * @param runtime the clock and the timers
     * @param log the log
     * @param storeIsFar whether the store is in another region
     * @param listener receives the versions
     */
    public ManifestWatcher(
            MetadataStore store,
            PlatformRecordDecoder formats,
            ProcessRuntime runtime,
            DecisionLog log,
            BooleanSupplier storeIsFar,
            ManifestListener listener) {
        this.store = store;
        this.formats = formats;
        this.log = log;
        this.listener = listener;
        this.watch =
                new PrefixWatcher(
                        formats.manifestKey(), BATCHING_DELAY_MILLIS, store, runtime, log, this);
        watch.pollWhile(storeIsFar, FAR_POLL_MILLIS);
    }

    /** Reads the manifest and starts to watch it. */
    public void start() {
        watch.start();
    }

    /**
     * Returns the current manifest.
     *
     * @return the manifest, or null before the first one has been read
     */
    public @Nullable Manifest current() {
        return manifest;
    }

    /**
     * Returns the store's revision of the current manifest.
     *
     * @return the revision, or 0 before the first manifest has been read
     */
    long revision() {
        return revision;
    }

    /**
     * Reads the manifest at once, beside the watch, whose call may be waiting for an answer that
     * does not come. Does nothing while such a read is under way.
     */
    void readNow() {
        if (!readPending) {
            readPending = true;
            store.read(formats.manifestKey(), this::onRead);
        }
    }

    /**
     * Asks the store for versions newer than the current one, beside the watch.
     *
     * @param callback receives whether the store has answered; its newest version is in force then,
     *     unless that can't be decoded
     */
    void confirmNow(Consumer<Boolean> callback) {
        store.watch(
                formats.manifestKey(),
                revision,
                0,
                result -> callback.accept(onConfirmation(result)));
    }

    /**
     * Handles the answer to a request for newer versions. The whole manifest is read if the store
     * has discarded the changes since the current version.
     *
     * @param result the changes, or the failure
     * @return whether the newest version is known
     */
    private boolean onConfirmation(StoreResult<StoreChanges> result) {
        if (result.status() == StoreStatus.OK) {
            result.require().events().forEach(this::onChange);
            return true;
        }
        log.log(
                "manifest.not-confirmed",
                "status",
                result.status(),
                "reason",
                result.reason(),
                "revision",
                revision);
        if (result.status() == StoreStatus.COMPACTED) {
            readNow();
        }
        return false;
    }

    /**
     * Handles the result of a read outside the watch.
     *
     * @param result the stored manifest, or the failure
     */
    private void onRead(StoreResult<StoreReading> result) {
        readPending = false;
        if (result.status() != StoreStatus.OK) {
            log.log(
                    "manifest.not-read",
                    "status",
                    result.status(),
                    "reason",
                    result.reason(),
                    "revision",
                    revision);
            return;
        }
        StoreItem item = result.require().item();
        if (item != null) {
            applyIfNewer(item);
        }
    }

    /**
     * Handles a change that another process has published. It takes effect once the version before
     * it is in force.
     *
     * @param change the change
     */
    public void onPublished(ManifestChange change) {
        if (change.toRevision() <= revision) {
            return;
        }
        if (pendingChanges.size() == MAX_PENDING_CHANGES) {
            pendingChanges.removeFirst();
        }
        pendingChanges.addLast(change);
        applyPendingChanges();
    }

    @Override
    public void onSnapshot(Snapshot snapshot) {
        snapshot.forEach(this::applyIfNewer);
    }

    @Override
    public void onChange(StoreEvent event) {
        StoreItem item = event.item();
        if (item != null) {
            applyIfNewer(item);
        }
    }

    /**
     * Makes a stored manifest the current one if its revision is newer and it can be decoded.
     *
     * @param item the stored item
     */
    private void applyIfNewer(StoreItem item) {
        if (!item.key().equals(formats.manifestKey()) || item.revision() <= revision) {
            return;
        }
        Manifest next = formats.decodeManifest(item.value());
        if (next == null) {
            log.log("manifest.unreadable", "revision", item.revision());
            return;
        }
        putInForce(next, item.revision(), false);
        applyPendingChanges();
    }

    /** Applies the published changes that continue from the current manifest. */
    private void applyPendingChanges() {
        Manifest current = manifest;
        ManifestChange change = current == null ? null : nextChange();
        while (current != null && change != null) {
            Manifest next = change.applyTo(current);
            if (next == null) {
                log.log("manifest.change-refused", "revision", change.toRevision());
                pendingChanges.remove(change);
            } else {
                current = next;
                putInForce(next, change.toRevision(), true);
            }
            change = nextChange();
        }
    }

    /**
     * Removes the published changes that lead to no later version and returns the one to apply.
     *
     * @return the change that begins with the current manifest, or null if there is none
     */
    private @Nullable ManifestChange nextChange() {
        pendingChanges.removeIf(change -> change.toRevision() <= revision);
        return pendingChanges.stream()
                .filter(change -> change.fromRevision() == revision)
                .findFirst()
                .orElse(null);
    }

    /**
     * Makes a version the current one.
     *
     * @param next the version
     * @param nextRevision the store's revision of the version
     * @param published whether it comes from a published change
     */
    private void putInForce(Manifest next, long nextRevision, boolean published) {
        log.log(
                "manifest.in-force",
                "version",
                next.version(),
                "revision",
                nextRevision,
                "routes",
                next.routes().size(),
                "before",
                manifest == null ? 0 : manifest.version(),
                "published",
                published,
                "answeredAgo",
                watch.answerGapMillis());
        revision = nextRevision;
        manifest = next;
        watch.skipTo(nextRevision);
        listener.onManifest(next, nextRevision, published);
    }
}
