package org.damasktiller.peer;

import io.activej.promise.Promise;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.damasktiller.store.KeyValueStore;
import org.damasktiller.store.StoredValue;
import org.damasktiller.table.OperatorTable;
import org.damasktiller.table.TableKeys;
import org.damasktiller.table.TableLoader;
import org.jspecify.annotations.Nullable;

/**
 * Keeps one watch on the table in the store while this node has to watch it, and reads the table
 * once at the start. Belongs to one reactor thread.
 */
public final class StoreWatch {

    /** How long one watch waits at most, in milliseconds. */
    private static final long WATCH_MILLIS = 30_000;

    /** The time to the next try after a failure, in milliseconds. */
    private static final long RETRY_MILLIS = 1_000;

    /** The time to the next read while the store is behind, in milliseconds. */
    private static final long BEHIND_MILLIS = 1_500;

    /** The key-value service. */
    private final KeyValueStore store;

    /** Reads the table. */
    private final TableLoader loader;

    /** Tells whether this node has to watch. */
    private final BooleanSupplier wanted;

    /** Returns the version in force on this node. */
    private final LongSupplier version;

    /** Told of each table read. */
    private final Consumer<OperatorTable> onTable;

    /** Told when the store does not answer. */
    private final Runnable onSilent;

    /** Whether a call waits for its answer. */
    private boolean waiting;

    /** The revision of the head read last, or a negative number if it is to be read again. */
    private long revision = -1;

    /** When the next call may be made, in milliseconds. */
    private long nextCallMillis = Long.MIN_VALUE;

    /** Whether the table was read once. */
    private boolean readOnce;

    /** The time of the latest tick, in milliseconds. */
    private long nowMillis;

    /**
     * Creates a watch.
     *
     * @param store the key-value service
     * @param wanted tells whether this node has to watch
     * @param version returns the version in force on this node
     * @param onTable told of each table read
     * @param onSilent told when the store does not answer
     */
    public StoreWatch(
            KeyValueStore store,
            BooleanSupplier wanted,
            LongSupplier version,
            Consumer<OperatorTable> onTable,
            Runnable onSilent) {
        this.store = store;
        this.loader = new TableLoader(store);
        this.wanted = wanted;
        this.version = version;
        this.onTable = onTable;
        this.onSilent = onSilent;
    }

    /**
     * Makes the next call if one is due.
     *
     * @param now the time, in milliseconds
     */
    public void onTick(long now) {
        nowMillis = now;
        boolean due = wanted.getAsBoolean() || !readOnce;
        if (waiting || !due || now < nextCallMillis) {
            return;
        }
        waiting = true;
        if (revision < 0) {
            store.get(TableKeys.HEAD)
                    .then(head -> head.isEmpty() ? absent() : load(head.get()))
                    .subscribe(this::onAnswer);
        } else {
            store.watch(TableKeys.HEAD, revision, WATCH_MILLIS)
                    .then(this::onChange)
                    .subscribe(this::onAnswer);
        }
    }

    /**
     * Takes in the answer to a watch; without a change the head is read again, so that a store that
     * came back older is noticed.
     *
     * @param changed the keys written
     * @return the table, or null if there was no change
     */
    private Promise<@Nullable OperatorTable> onChange(List<StoredValue> changed) {
        if (changed.isEmpty()) {
            revision = -1;
            return Promise.of(null);
        }
        return load(changed.get(changed.size() - 1));
    }

    /**
     * Takes in that the store has no table.
     *
     * @return the empty table
     */
    private Promise<@Nullable OperatorTable> absent() {
        revision = 0;
        return Promise.of(OperatorTable.EMPTY);
    }

    /**
     * Reads the table of a head.
     *
     * @param head the head
     * @return the table
     */
    private Promise<@Nullable OperatorTable> load(StoredValue head) {
        revision = head.revision();
        return loader.loadFrom(head).map(table -> table);
    }

    /**
     * Ends one call.
     *
     * @param table the table read, or null
     * @param error what failed, or null
     */
    private void onAnswer(@Nullable OperatorTable table, @Nullable Exception error) {
        waiting = false;
        if (error != null) {
            revision = -1;
            nextCallMillis = nowMillis + RETRY_MILLIS;
            onSilent.run();
            return;
        }
        if (table != null) {
            readOnce = true;
            onTable.accept(table);
            if (table.version() < version.getAsLong()) {
                revision = -1;
                nextCallMillis = nowMillis + BEHIND_MILLIS;
            }
        }
    }
}
