package org.damasktiller.table;

import java.util.ArrayList;
import java.util.List;
import org.damasktiller.store.SwapRequest;

/**
 * Plans the writes that commit a new version of the table. Every watcher reads the head after each
 * change, so the head is kept small: once its deltas exceed {@value #MAXIMUM_TAIL_BYTES} bytes they
 * move to a segment, and once there are more than {@value #MAXIMUM_SEGMENTS} segments a snapshot
 * replaces them.
 */
final class HeadPlanner {

    /**
     * The encoded size above which the next edit moves the tail of the head to a segment, in bytes.
     */
    static final int MAXIMUM_TAIL_BYTES = 2_000;

    /**
     * The encoded size above which an edit is stored as a snapshot instead of a delta, in bytes.
     */
    static final int MAXIMUM_DELTA_BYTES = 64_000;

    /** The number of segments above which a snapshot replaces them. */
    static final int MAXIMUM_SEGMENTS = 32;

    /** The suffix of the key of a snapshot of a version that is already committed. */
    private static final String COMMITTED_SUFFIX = "accepted";

    /** The suffix of the key of a snapshot that restores a version the store has lost. */
    private static final String RESTORED_SUFFIX = "restored";

    /** Prevents instantiation. */
    private HeadPlanner() {}

    /**
     * Plans the writes of the next version.
     *
     * @param loaded the current table
     * @param delta the complete delta that leads to the next version
     * @return the writes
     */
    static EditAction.Write planNextVersion(LoadedTable loaded, TableDelta delta) {
        OperatorTable table = loaded.table().withChanges(delta.version(), delta.changes());
        if (TableCodec.encodeDeltas(List.of(delta)).length > MAXIMUM_DELTA_BYTES) {
            return planSnapshot(loaded, table, delta.id().value(), List.of(delta.withoutChanges()));
        }
        TableHead head = loaded.head();
        List<SwapRequest> recordWrites = new ArrayList<>();
        List<SegmentRange> segments = new ArrayList<>(head.segments());
        List<TableDelta> tail = new ArrayList<>(head.tail());
        String snapshotKey = head.snapshotKey();
        long snapshotVersion = head.snapshotVersion();
        byte[] encodedTail = TableCodec.encodeDeltas(tail);
        if (!tail.isEmpty() && encodedTail.length > MAXIMUM_TAIL_BYTES) {
            SegmentRange range = new SegmentRange(tail.get(0).version(), head.version());
            recordWrites.add(createRequest(range.key(), encodedTail));
            segments.add(range);
            tail.clear();
        }
        if (segments.size() > MAXIMUM_SEGMENTS) {
            snapshotKey = TableKeys.snapshotKey(head.version(), COMMITTED_SUFFIX);
            snapshotVersion = head.version();
            recordWrites.add(createRequest(snapshotKey, TableWriter.write(loaded.table())));
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
        return new EditAction.Write(recordWrites, headRequest(loaded.revision(), next));
    }

    /**
     * Plans the writes that restore a table to a store that holds only an older version.
     *
     * @param loaded the older table in the store
     * @param known the latest known table
     * @return the writes
     */
    static EditAction.Write planRestore(LoadedTable loaded, OperatorTable known) {
        return planSnapshot(loaded, known, RESTORED_SUFFIX, List.of());
    }

    /**
     * Plans the writes of a version that is stored as a snapshot.
     *
     * @param loaded the table in the store
     * @param table the table of the new version
     * @param suffix the suffix of the key of the snapshot, which distinguishes the snapshots that
     *     different writers create for one version
     * @param tail the deltas of the new head, none of them later than the new version
     * @return the writes
     */
    private static EditAction.Write planSnapshot(
            LoadedTable loaded, OperatorTable table, String suffix, List<TableDelta> tail) {
        String key = TableKeys.snapshotKey(table.version(), suffix);
        TableHead next =
                new TableHead(
                        table.version(), table.digest(), key, table.version(), List.of(), tail);
        List<SwapRequest> recordWrites = new ArrayList<>();
        List<TableDelta> oldTail = loaded.head().tail();
        if (!oldTail.isEmpty() && loaded.head().version() < table.version()) {
            SegmentRange range =
                    new SegmentRange(oldTail.get(0).version(), loaded.head().version());
            recordWrites.add(createRequest(range.key(), TableCodec.encodeDeltas(oldTail)));
        }
        recordWrites.add(createRequest(key, TableWriter.write(table)));
        return new EditAction.Write(recordWrites, headRequest(loaded.revision(), next));
    }

    /**
     * Returns the request that creates a record.
     *
     * @param key the key, which must not exist yet
     * @param value the encoded record
     * @return the request
     */
    private static SwapRequest createRequest(String key, byte[] value) {
        return new SwapRequest(key, 0, value);
    }

    /**
     * Returns the request that replaces the head.
     *
     * @param revision the revision that the head must have, or zero if it must not exist yet
     * @param next the new head
     * @return the request
     */
    private static SwapRequest headRequest(long revision, TableHead next) {
        return new SwapRequest(TableKeys.HEAD, revision, TableCodec.encodeHead(next));
    }
}
