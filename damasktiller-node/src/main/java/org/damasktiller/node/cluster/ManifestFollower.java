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

/** Follows the operator's manifest; the version in force never falls. */
public final class ManifestFollower implements PrefixWatcher.Listener {

    /** The pause between a change and the next call of the watch, in milliseconds. */
    private static final long GROUPING_MILLIS = 20;

    /** The platform's records. */
    private final PlatformRecordDecoder formats;

    /** The log. */
    private final DecisionLog log;

    /** Told of each new version. */
    private final Consumer<Manifest> listener;

    /** The watch. */
    private final PrefixWatcher watch;

    /** The manifest in force, or null before the first. */
    private @Nullable Manifest manifest;

    /** The revision of the manifest in force. */
    private long revision;

    /**
     * Creates a follower that has not begun.
     *
     * @param store the store
     * @param formats the platform's records
     * @param runtime the timers
     * @param log the log
     * @param listener told of each new version
     */
    public ManifestFollower(
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
                        formats.manifestKey(), GROUPING_MILLIS, store, runtime, log, this);
    }

    /** Begins to follow. */
    public void start() {
        watch.start();
    }

    /**
     * Returns the manifest in force.
     *
     * @return the manifest, or null before the first
     */
    public @Nullable Manifest current() {
        return manifest;
    }

    @Override
    public void onSnapshot(List<StoreItem> items, long highestRevision) {
        items.forEach(this::take);
    }

    @Override
    public void onChange(StoreEvent event) {
        StoreItem item = event.item();
        if (item != null) {
            take(item);
        }
    }

    /**
     * Puts a manifest in force if it is newer.
     *
     * @param item the stored manifest
     */
    private void take(StoreItem item) {
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
                manifest == null ? 0 : manifest.version());
        revision = item.revision();
        manifest = next;
        listener.accept(next);
    }
}
