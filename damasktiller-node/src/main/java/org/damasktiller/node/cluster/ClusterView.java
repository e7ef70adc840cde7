package org.damasktiller.node.cluster;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.damasktiller.scheduler.cell.CellKeys;
import org.damasktiller.scheduler.cell.OwnerRecord;
import org.damasktiller.scheduler.cell.PendingRecord;
import org.damasktiller.scheduler.cell.PrefixWatcher;
import org.damasktiller.scheduler.cell.StoredValueCodec;
import org.damasktiller.scheduler.port.DecisionLog;
import org.damasktiller.scheduler.port.MetadataStore;
import org.damasktiller.scheduler.port.ProcessRuntime;
import org.damasktiller.scheduler.port.StoreEvent;
import org.damasktiller.scheduler.port.StoreItem;
import org.jspecify.annotations.Nullable;

/** What all processes publish: who lives, who owns which cell, and how much waits there. */
public final class ClusterView implements PrefixWatcher.Listener {

    /** The prefix of the keys by which processes show that they live. */
    static final String NODES = CellKeys.PUBLIC_PREFIX + "node/";

    /** The pause between a change and the next call of the watch, in milliseconds. */
    private static final long GROUPING_MILLIS = 40;

    /** The watch. */
    private final PrefixWatcher watch;

    /** Told of each change of an owner or a node. */
    private final Runnable changed;

    /** The owner of each cell. */
    private final Map<String, Owner> owners = new HashMap<>();

    /** The counts of each cell. */
    private final Map<String, PendingRecord> pending = new HashMap<>();

    /** The living processes by VM. */
    private final Map<String, NodeRecord> nodes = new HashMap<>();

    /** Whether the keys have been read. */
    private boolean synced;

    /**
     * Creates a view that is not read yet.
     *
     * @param store the store
     * @param runtime the timers
     * @param log the log
     * @param changed told of each change of an owner or a node
     */
    public ClusterView(
            MetadataStore store, ProcessRuntime runtime, DecisionLog log, Runnable changed) {
        this.changed = changed;
        this.watch =
                new PrefixWatcher(
                        CellKeys.PUBLIC_PREFIX, GROUPING_MILLIS, store, runtime, log, this);
    }

    /** Begins to follow. */
    public void start() {
        watch.start();
    }

    /**
     * Tells whether the keys have been read.
     *
     * @return whether they have
     */
    public boolean synced() {
        return synced;
    }

    /**
     * Returns the owner of a cell.
     *
     * @param cell the cell
     * @return the owner, or null if the cell has none
     */
    public @Nullable Owner owner(String cell) {
        return owners.get(cell);
    }

    /**
     * Returns the living processes.
     *
     * @return the processes
     */
    public Collection<NodeRecord> nodes() {
        return nodes.values();
    }

    /**
     * Returns how many submissions of a route wait for their first start.
     *
     * @param route the name of the route
     * @return the number over all cells
     */
    public int pending(String route) {
        return pending.values().stream()
                .mapToInt(record -> record.byRoute().getOrDefault(route, 0))
                .sum();
    }

    @Override
    public void onSnapshot(List<StoreItem> items, long highestRevision) {
        owners.clear();
        pending.clear();
        nodes.clear();
        for (StoreItem item : items) {
            put(item);
        }
        synced = true;
        changed.run();
    }

    @Override
    public void onChange(StoreEvent event) {
        StoreItem item = event.item();
        if (item == null) {
            remove(event.key());
        } else {
            put(item);
        }
        if (!event.key().startsWith(CellKeys.PENDING_PREFIX)) {
            changed.run();
        }
    }

    /**
     * Takes a key.
     *
     * @param item the item
     */
    private void put(StoreItem item) {
        String key = item.key();
        if (key.startsWith(CellKeys.OWNER_PREFIX)) {
            OwnerRecord record = StoredValueCodec.decode(item.value(), OwnerRecord.class);
            if (record != null) {
                owners.put(
                        key.substring(CellKeys.OWNER_PREFIX.length()),
                        new Owner(record, item.revision()));
            }
        } else if (key.startsWith(CellKeys.PENDING_PREFIX)) {
            PendingRecord record = StoredValueCodec.decode(item.value(), PendingRecord.class);
            if (record != null) {
                pending.put(key.substring(CellKeys.PENDING_PREFIX.length()), record);
            }
        } else if (key.startsWith(NODES)) {
            NodeRecord record = StoredValueCodec.decode(item.value(), NodeRecord.class);
            if (record != null) {
                nodes.put(key.substring(NODES.length()), record);
            }
        }
    }

    /**
     * Forgets a key.
     *
     * @param key the key
     */
    private void remove(String key) {
        if (key.startsWith(CellKeys.OWNER_PREFIX)) {
            owners.remove(key.substring(CellKeys.OWNER_PREFIX.length()));
        } else if (key.startsWith(CellKeys.PENDING_PREFIX)) {
            pending.remove(key.substring(CellKeys.PENDING_PREFIX.length()));
        } else if (key.startsWith(NODES)) {
            nodes.remove(key.substring(NODES.length()));
        }
    }

    /**
     * The owner of a cell.
     *
     * @param record the value of its key
     * @param revision the revision of its key
     */
    public record Owner(OwnerRecord record, long revision) {}
}
