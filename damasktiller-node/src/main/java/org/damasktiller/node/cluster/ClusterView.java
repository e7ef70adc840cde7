package org.damasktiller.node.cluster;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.damasktiller.scheduler.cell.CellKeys;
import org.damasktiller.scheduler.cell.CellLayout;
import org.damasktiller.scheduler.cell.LayoutRecord;
import org.damasktiller.scheduler.cell.OwnerRecord;
import org.damasktiller.scheduler.cell.PendingRecord;
import org.damasktiller.scheduler.cell.PrefixWatcher;
import org.damasktiller.scheduler.cell.Snapshot;
import org.damasktiller.scheduler.cell.StoredValueCodec;
import org.damasktiller.scheduler.model.Resources;
import org.damasktiller.scheduler.port.DecisionLog;
import org.damasktiller.scheduler.port.MetadataStore;
import org.damasktiller.scheduler.port.ProcessRuntime;
import org.damasktiller.scheduler.port.StoreEvent;
import org.damasktiller.scheduler.port.StoreItem;
import org.jspecify.annotations.Nullable;

/**
 * Caches the keys that all processes publish in the store: the layout of the cells, the registered
 * processes, the owner of each cell, and what the owners publish about their cells. A watch keeps
 * the cache up to date.
 */
public final class ClusterView implements PrefixWatcher.Listener {

    /** The pause after a change before the next watch call, in milliseconds; it batches changes. */
    private static final long BATCHING_DELAY_MILLIS = 40;

    /** Watches the published keys. */
    private final PrefixWatcher watch;

    /** Called after each change except those of pending counts and the manifest. */
    private final Runnable changeListener;

    /** The owners by the name of the cell. */
    private final Map<String, Owner> owners = new HashMap<>();

    /** The pending counts by the name of the cell. */
    private final Map<String, PendingRecord> pendingByCell = new HashMap<>();

    /** The registered processes by the name of the VM. */
    private final Map<String, NodeRecord> nodes = new HashMap<>();

    /**
     * Since when each registered process has been able to own a cell or, if it is not, has been
     * registered, on the monotonic clock, in milliseconds.
     */
    private final Map<NodeRecord, Long> nodeSinceMillis = new HashMap<>();

    /** When a registration was last seen to be gone, in milliseconds; -1 if none was. */
    private long nodeLostAtMillis = -1;

    /** The clock. */
    private final ProcessRuntime runtime;

    /** The log. */
    private final DecisionLog log;

    /** How zones are divided into cells, or null while that is not known. */
    private @Nullable LayoutRecord layout;

    /** What the last published version of the manifest changed, or null while that is unknown. */
    private @Nullable ManifestChange manifestChange;

    /** The revision of the key of the last change of the manifest, or ABSENT if there is none. */
    private long manifestChangeRevision = StoreItem.ABSENT;

    /** Called with each published change of the manifest. */
    private Consumer<ManifestChange> manifestChangeListener = change -> {};

    /** Whether all keys have been read once. */
    private boolean synced;

    /**
     * Creates an empty view.
     *
     * @param store the store
     * @param runtime the clock and the timers
     * @param log the log
     * @param changeListener called after each change except those of pending counts and the
     *     manifest
     */
    public ClusterView(
            MetadataStore store, ProcessRuntime runtime, DecisionLog log, Runnable changeListener) {
        this.runtime = runtime;
        this.log = log;
        this.changeListener = changeListener;
        this.watch =
                new PrefixWatcher(
                        CellKeys.PUBLIC_PREFIX, BATCHING_DELAY_MILLIS, store, runtime, log, this);
    }

    /** Reads all keys and starts to watch them. */
    public void start() {
        watch.start();
    }

    /**
     * Tells whether all keys have been read once. Before, a cell may have an owner that the view
     * does not know.
     *
     * @return whether the view is complete
     */
    public boolean isSynced() {
        return synced;
    }

    /**
     * Tells whether the view follows the store.
     *
     * @return whether all keys have been read once and the last call to the store succeeded
     */
    boolean isCurrent() {
        return synced && !watch.isFailing();
    }

    /**
     * Counts the cells that each VM owns.
     *
     * @return the number of cells by the name of the VM; VMs without a cell are left out
     */
    Map<String, Integer> cellsByNode() {
        Map<String, Integer> counts = new HashMap<>();
        owners.values().forEach(owner -> counts.merge(owner.record().node(), 1, Integer::sum));
        return counts;
    }

    /**
     * Returns the owner of a cell.
     *
     * @param cell the cell's name
     * @return the owner, or null if the cell has none
     */
    public @Nullable Owner owner(String cell) {
        return owners.get(cell);
    }

    /**
     * Returns how zones are divided into cells.
     *
     * @return the stored layout, or null while none has been read
     */
    public @Nullable LayoutRecord layout() {
        return layout;
    }

    /**
     * Returns the last published change of the manifest.
     *
     * @return the change, or null if none is known or it can't be read
     */
    @Nullable ManifestChange manifestChange() {
        return manifestChange;
    }

    /**
     * Returns the revision of the key of the last published change of the manifest, which a
     * transaction that replaces it must expect.
     *
     * @return the revision, or {@link StoreItem#ABSENT} if no change is known
     */
    long manifestChangeRevision() {
        return manifestChangeRevision;
    }

    /**
     * Sets the listener of published changes of the manifest.
     *
     * @param listener called with each change
     */
    void setManifestChangeListener(Consumer<ManifestChange> listener) {
        manifestChangeListener = listener;
    }

    /**
     * Returns the registered processes.
     *
     * @return a live view, which changes with the next event
     */
    public Collection<NodeRecord> nodes() {
        return nodes.values();
    }

    /**
     * Returns how long a process has been registered as it is now.
     *
     * @param record the registration
     * @return the time since this process first saw it, in milliseconds; 0 if it is not registered
     */
    long registeredMillis(NodeRecord record) {
        long now = runtime.nowMillis();
        return now - nodeSinceMillis.getOrDefault(record, now);
    }

    /**
     * Returns for how long no registration has gone.
     *
     * @return the time since this process last saw that one was gone, in milliseconds; {@link
     *     Long#MAX_VALUE} if it saw none
     */
    long withoutLossMillis() {
        return nodeLostAtMillis < 0 ? Long.MAX_VALUE : runtime.nowMillis() - nodeLostAtMillis;
    }

    /**
     * Returns how long ago the view was up to date.
     *
     * @return the time since the store last answered the watch, in milliseconds; {@link
     *     Long#MAX_VALUE} before all keys have been read once
     */
    long ageMillis() {
        return synced ? runtime.nowMillis() - watch.answeredAtMillis() : Long.MAX_VALUE;
    }

    /**
     * Returns what the owners of the cells have published.
     *
     * @return a live view, which changes with the next event
     */
    Collection<PendingRecord> pendingRecords() {
        return pendingByCell.values();
    }

    /**
     * Returns what the owner of a cell has published.
     *
     * @param cell the name of the cell
     * @return the record of its last owner, or null if there is none
     */
    @Nullable PendingRecord pendingRecord(String cell) {
        return pendingByCell.get(cell);
    }

    /**
     * Returns the largest workers of some cells.
     *
     * @param cells the names of the cells
     * @return the capacities, empty if the workers of any of the cells are not known
     */
    public List<Resources> largestWorkers(Collection<String> cells) {
        List<Resources> capacities = new ArrayList<>();
        for (String cell : cells) {
            PendingRecord record = pendingByCell.get(cell);
            if (record == null || record.largestWorkers().isEmpty()) {
                return List.of();
            }
            capacities.addAll(record.largestWorkers());
        }
        return capacities;
    }

    @Override
    public void onSnapshot(Snapshot snapshot) {
        owners.clear();
        pendingByCell.clear();
        nodes.clear();
        snapshot.forEach(this::put);
        if (nodeSinceMillis.keySet().retainAll(nodes.values())) {
            nodeLostAtMillis = runtime.nowMillis();
        }
        synced = true;
        changeListener.run();
    }

    @Override
    public void onChange(StoreEvent event) {
        StoreItem item = event.item();
        if (item == null) {
            remove(event.key());
        } else {
            put(item);
        }
        if (!event.key().startsWith(CellKeys.PENDING_PREFIX)
                && !event.key().equals(CellKeys.MANIFEST_CHANGE)) {
            changeListener.run();
        }
    }

    /**
     * Adds or replaces the entry of a key. An unreadable value leaves the previous entry.
     *
     * @param item the stored item
     */
    private void put(StoreItem item) {
        String key = item.key();
        if (key.equals(CellKeys.LAYOUT)) {
            putLayout(item);
        } else if (key.equals(CellKeys.MANIFEST_CHANGE)) {
            putManifestChange(item);
        } else if (key.startsWith(CellKeys.OWNER_PREFIX)) {
            OwnerRecord record = StoredValueCodec.decode(item.value(), OwnerRecord.class);
            if (record != null) {
                owners.put(
                        key.substring(CellKeys.OWNER_PREFIX.length()),
                        new Owner(record, item.revision()));
            }
        } else if (key.startsWith(CellKeys.PENDING_PREFIX)) {
            PendingRecord record = StoredValueCodec.decode(item.value(), PendingRecord.class);
            if (record != null) {
                pendingByCell.put(key.substring(CellKeys.PENDING_PREFIX.length()), record);
            }
        } else if (key.startsWith(CellKeys.NODE_PREFIX)) {
            NodeRecord record = StoredValueCodec.decode(item.value(), NodeRecord.class);
            if (record != null) {
                NodeRecord before = nodes.put(key.substring(CellKeys.NODE_PREFIX.length()), record);
                if (before != null && !before.equals(record)) {
                    nodeSinceMillis.remove(before);
                }
                nodeSinceMillis.putIfAbsent(record, runtime.nowMillis());
            }
        }
    }

    /**
     * Sets the layout. An unusable value is logged and left in the store; every process then uses
     * the same default.
     *
     * @param item the stored item
     */
    private void putLayout(StoreItem item) {
        LayoutRecord record = StoredValueCodec.decode(item.value(), LayoutRecord.class);
        if (record == null || record.maxZonesPerCell() < 1) {
            log.log("layout.unreadable", "key", item.key(), "revision", item.revision());
            record = new LayoutRecord(CellLayout.DEFAULT_MAX_ZONES_PER_CELL);
        }
        layout = record;
    }

    /**
     * Sets the last published change of the manifest and passes it on. One that can't be read is
     * logged; the version is then read from the operator's key.
     *
     * @param item the stored item
     */
    private void putManifestChange(StoreItem item) {
        manifestChangeRevision = item.revision();
        manifestChange = ManifestChange.decode(item.value());
        if (manifestChange == null) {
            log.log("manifest.change-unreadable", "revision", item.revision());
        } else {
            manifestChangeListener.accept(manifestChange);
        }
    }

    /**
     * Removes the entry of a key.
     *
     * @param key the key
     */
    private void remove(String key) {
        if (key.startsWith(CellKeys.OWNER_PREFIX)) {
            owners.remove(key.substring(CellKeys.OWNER_PREFIX.length()));
        } else if (key.startsWith(CellKeys.PENDING_PREFIX)) {
            pendingByCell.remove(key.substring(CellKeys.PENDING_PREFIX.length()));
        } else if (key.startsWith(CellKeys.NODE_PREFIX)) {
            NodeRecord record = nodes.remove(key.substring(CellKeys.NODE_PREFIX.length()));
            if (record != null) {
                nodeSinceMillis.remove(record);
                nodeLostAtMillis = runtime.nowMillis();
            }
        }
    }

    /**
     * The owner of a cell.
     *
     * @param record the value of the owner key
     * @param revision the revision of the owner key, which a transaction that replaces it must
     *     expect
     */
    public record Owner(OwnerRecord record, long revision) {}
}
