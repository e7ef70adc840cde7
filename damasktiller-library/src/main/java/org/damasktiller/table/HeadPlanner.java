package org.damasktiller.table;

import java.util.ArrayList;
import java.util.List;
import org.damasktiller.store.SwapRequest;

/**
 * Plans the writes that put a new version in force. The head stays small, since every watcher reads
 * it after each change: deltas beyond a few kilobytes move to segments, and after some segments a
 * snapshot is written.
 */
final class HeadPlanner {

    /** The size above which the tail of the head moves to a segment, in bytes. */
    static final int MAXIMUM_TAIL_BYTES = 2_000;

    /** The size above which an edit is kept as a snapshot, in bytes. */
    static final int MAXIMUM_DELTA_BYTES = 64_000;

    /** The number of segments after which a snapshot is written. */
    static final int MAXIMUM_SEGMENTS = 32;

    /** Marks snapshots of versions already in force. */
    private static final String ACCEPTED = "accepted";

    /** Marks snapshots written back to a store that came back older. */
    private static final String RESTORED = "restored";

    /** Prevents instantiation. */
    private HeadPlanner() {}

    /**
     * Plans the next version.
     *
     * @param loaded the table in force
     * @param delta the edit that makes the next version
     * @return the writes
     */
    static EditAction.Write next(LoadedTable loaded, TableDelta delta) {
        OperatorTable table = loaded.table().with(delta.version(), delta.changes());
        if (TableCodec.encodeDeltas(List.of(delta)).length > MAXIMUM_DELTA_BYTES) {
            return snapshot(loaded, table, delta.id().value(), List.of(delta.withoutChanges()));
        }
        TableHead head = loaded.head();
        List<SwapRequest> preparations = new ArrayList<>();
        List<SegmentRange> segments = new ArrayList<>(head.segments());
        List<TableDelta> tail = new ArrayList<>(head.tail());
        String snapshotKey = head.snapshotKey();
        long snapshotVersion = head.snapshotVersion();
        byte[] encodedTail = TableCodec.encodeDeltas(tail);
        if (!tail.isEmpty() && encodedTail.length > MAXIMUM_TAIL_BYTES) {
            SegmentRange range = new SegmentRange(tail.get(0).version(), head.version());
            preparations.add(create(range.key(), encodedTail));
            segments.add(range);
            tail.clear();
        }
        if (segments.size() > MAXIMUM_SEGMENTS) {
            snapshotKey = TableKeys.snapshot(head.version(), ACCEPTED);
            snapshotVersion = head.version();
            preparations.add(create(snapshotKey, TableWriter.write(loaded.table())));
            segments.clear();
        }
        tail.add(delta);
        TableHead next =
                new TableHead(
                        table.version(),
                        table.digest(),
                        snapshotKey,
                        snapshotVersion,
                        segments,
                        tail);
        return new EditAction.Write(preparations, swap(loaded.revision(), next));
    }

    /**
     * Plans to write back a table to a store that is behind it.
     *
     * @param loaded the older table in the store
     * @param known the table in force
     * @return the writes
     */
    static EditAction.Write restore(LoadedTable loaded, OperatorTable known) {
        return snapshot(loaded, known, RESTORED, List.of());
    }

    /**
     * Plans to put a whole table in force, with a snapshot of its own.
     *
     * @param loaded the table in force
     * @param table the new table
     * @param writer who writes it, for the key of the snapshot
     * @param tail the latest deltas, all of them at or before the new version
     * @return the writes
     */
    private static EditAction.Write snapshot(
            LoadedTable loaded, OperatorTable table, String writer, List<TableDelta> tail) {
        String key = TableKeys.snapshot(table.version(), writer);
        TableHead next =
                new TableHead(
                        table.version(), table.digest(), key, table.version(), List.of(), tail);
        List<SwapRequest> preparations = new ArrayList<>();
        List<TableDelta> before = loaded.head().tail();
        if (!before.isEmpty() && loaded.head().version() < table.version()) {
            SegmentRange range = new SegmentRange(before.get(0).version(), loaded.head().version());
            preparations.add(create(range.key(), TableCodec.encodeDeltas(before)));
        }
        preparations.add(create(key, TableWriter.write(table)));
        return new EditAction.Write(preparations, swap(loaded.revision(), next));
    }

    /**
     * Asks to create an immutable record.
     *
     * @param key the key
     * @param value the bytes
     * @return the write
     */
    private static SwapRequest create(String key, byte[] value) {
        return new SwapRequest(key, 0, value);
    }

    /**
     * Asks to replace the head.
     *
     * @param revision the revision that the head must have
     * @param next the new head
     * @return the write
     */
    private static SwapRequest swap(long revision, TableHead next) {
        return new SwapRequest(TableKeys.HEAD, revision, TableCodec.encodeHead(next));
    }
}
