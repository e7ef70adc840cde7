package org.damasktiller.table;

import java.util.List;

/**
 * Holds the one record of the store that decides which table is in force: a snapshot and the deltas
 * after it, the older of them in segments of their own.
 *
 * @param version the version in force
 * @param digest the digest of the table in force
 * @param snapshotKey the key of the snapshot, or an empty text if the table started empty
 * @param snapshotVersion the version of the snapshot, or zero
 * @param segments the segments after the snapshot, in order
 * @param tail the latest deltas, in order
 */
record TableHead(
        long version,
        long digest,
        String snapshotKey,
        long snapshotVersion,
        List<SegmentRange> segments,
        List<TableDelta> tail) {

    /** The head before the first edit. */
    static final TableHead EMPTY =
            new TableHead(0, OperatorTable.EMPTY.digest(), "", 0, List.of(), List.of());

    /** Copies the lists. */
    TableHead {
        segments = List.copyOf(segments);
        tail = List.copyOf(tail);
    }

    /**
     * Tells whether the tail leads from a version to the version in force.
     *
     * @param from the version held
     * @return whether the tail alone suffices
     */
    boolean tailCovers(long from) {
        long first = tail.isEmpty() ? version + 1 : tail.get(0).version();
        return from <= version
                && from >= first - 1
                && tail.stream().allMatch(delta -> delta.version() <= from || delta.complete());
    }
}
