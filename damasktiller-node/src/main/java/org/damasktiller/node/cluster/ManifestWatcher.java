package org.damasktiller.node.cluster;

import java.util.List;
import java.util.function.Consumer;
import org.damasktiller.scheduler.cell.PrefixWatcher;
import org.damasktiller.scheduler.model.Manifest;
import org.damasktiller.scheduler.port.DecisionLog;
import org.damasktiller.scheduler.port.MetadataStore;
import org.damasktiller.scheduler.port.PlatformRecordDecoder;
import org.damasktiller.scheduler.port.ProcessRuntime;
import org.damasktiller.scheduler.port.StoreEvent;
import org.damasktiller.scheduler.port.StoreItem;
import org.jspecify.annotations.Nullable;

/**
 * Watches the operator's manifest in the store and notifies a listener of each new version. Items
 * with an older revision are ignored, so that the current manifest never goes back.
 */
public final class ManifestWatcher implements PrefixWatcher.Listener {

    /** The pause after a change before the next watch call, in milliseconds; it batches changes. */
    private static final long BATCHING_DELAY_MILLIS = 20;

    /** Decodes the manifest and knows its key. */
    private final PlatformRecordDecoder formats;

    /** The log. */
    private final DecisionLog log;

    /** Notified of each new version. */
    private final Consumer<Manifest> listener;

    /** Watches the key of the manifest. */
    private final PrefixWatcher watch;

    /** The current manifest, or null before the first one has been read. */
    private @Nullable Manifest manifest;

    /** The store's revision of the current manifest. */
    private long revision;

    /**
     * Creates a watcher that is not started yet.
     *
     * @param store the store
     * @param formats decodes the manifest and knows its key
     * @param runtime the clock and the timers
     * @param log the log
     * @param listener notified of each new version
     */
    public ManifestWatcher(
            MetadataStore store,
            PlatformRecordDecoder formats,
            ProcessRuntime runtime,
            DecisionLog log,
            Consumer<Manifest> listener) {
        this.formats = formats;
        this.log = log;
        this.listener = listener;
        this.watch =
                new PrefixWatcher(
                        formats.manifestKey(), BATCHING_DELAY_MILLIS, store, runtime, log, this);
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

    @Override
    public void onSnapshot(List<StoreItem> items, long highestRevision) {
        items.forEach(this::applyIfNewer);
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
        log.log(
                "manifest.in-force",
                "version",
                next.version(),
                "revision",
                item.revision(),
                "routes",
                next.routes().size(),
                "before",
                manifest == null ? 0 : manifest.version(),
                "answeredAgo",
                watch.answerGapMillis());
        revision = item.revision();
        manifest = next;
        listener.accept(next);
    }
}
