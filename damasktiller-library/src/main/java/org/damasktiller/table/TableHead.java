package org.damasktiller.table;

import java.util.List;

/**
 * Holds the record of the store that defines the current table: it refers to a snapshot and to the
 * segments with the deltas after it, and contains the latest deltas itself.
 *
 * @param version the current version
 * @param digest the digest of the current table
 * @param snapshotKey the key of the snapshot, or an empty string if no snapshot exists and the
 *     deltas start from the empty table
 * @param snapshotVersion the version of the snapshot, or zero if no snapshot exists
 * @param segments the segments after the snapshot, in order of version
 * @param tail the latest deltas, in order of version
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

    /** Makes immutable copies of the lists. */
    TableHead {
        segments = List.copyOf(segments);
        tail = List.copyOf(tail);
    }

    /**
     * Returns whether the deltas of the tail alone lead from a given version to the current one.
     *
     * @param fromVersion the version of the table at hand
     * @return whether no snapshot and no segment needs to be read
     */
    boolean tailCovers(long fromVersion) {
        long first = tail.isEmpty() ? version + 1 : tail.get(0).version();
        return fromVersion <= version
                && fromVersion >= first - 1
                && tail.stream()
                        .allMatch(delta -> delta.version() <= fromVersion || delta.complete());
    }
}
