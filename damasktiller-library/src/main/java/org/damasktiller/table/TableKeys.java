package org.damasktiller.table;

import java.util.Locale;

/** Defines the keys under which the records of the table are stored. */
public final class TableKeys {

    /**
     * The key of the head, which alone defines the current version; also the prefix to watch for
     * changes of the table.
     */
    public static final String HEAD = "table/head";

    /** The prefix of the keys of snapshots. */
    static final String SNAPSHOT_PREFIX = "table/snapshot/";

    /** The prefix of the keys of segments. */
    static final String SEGMENT_PREFIX = "table/segment/";

    /** Prevents instantiation. */
    private TableKeys() {}

    /**
     * Returns the key of a segment.
     *
     * @param first the version of the first delta
     * @param last the version of the last delta
     * @return the key
     */
    static String segmentKey(long first, long last) {
        return SEGMENT_PREFIX + formatVersion(first) + "-" + formatVersion(last);
    }

    /**
     * Returns the key of a snapshot.
     *
     * @param version the version of the table
     * @param suffix the last part of the key, which distinguishes the snapshots that concurrent
     *     edits write for one version before one of them is accepted
     * @return the key
     */
    static String snapshotKey(long version, String suffix) {
        return SNAPSHOT_PREFIX + formatVersion(version) + "-" + suffix;
    }

    /**
     * Extracts the version from the key of a snapshot or a segment.
     *
     * @param key the key
     * @return the version of the snapshot, or the last version of the segment
     */
    static long versionOf(String key) {
        String name = key.substring(key.lastIndexOf('/') + 1);
        String beforeHyphen = name.substring(0, name.indexOf('-'));
        String afterHyphen = name.substring(name.indexOf('-') + 1);
        return Long.parseLong(key.startsWith(SEGMENT_PREFIX) ? afterHyphen : beforeHyphen);
    }

    /**
     * Formats a version so that the lexicographic order of the keys is the order of the versions.
     *
     * @param version the version
     * @return the version, padded with zeros to twelve digits
     */
    private static String formatVersion(long version) {
        return String.format(Locale.ROOT, "%012d", version);
    }
}
