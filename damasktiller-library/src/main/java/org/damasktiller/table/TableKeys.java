package org.damasktiller.table;

import java.util.Locale;

/** Names the keys of the table in the store. */
public final class TableKeys {

    /** The key of the head, which alone decides what is in force; also the prefix to watch. */
    public static final String HEAD = "table/head";

    /** The prefix of the keys of snapshots. */
    static final String SNAPSHOTS = "table/snapshot/";

    /** The prefix of the keys of segments. */
    static final String SEGMENTS = "table/segment/";

    /** Prevents instantiation. */
    private TableKeys() {}

    /**
     * Names a segment of deltas.
     *
     * @param first the first version
     * @param last the last version
     * @return the key
     */
    static String segment(long first, long last) {
        return SEGMENTS + digits(first) + "-" + digits(last);
    }

    /**
     * Names a snapshot.
     *
     * @param version the version of the table
     * @param writer who wrote it, since a snapshot may be written before its version is accepted
     * @return the key
     */
    static String snapshot(long version, String writer) {
        return SNAPSHOTS + digits(version) + "-" + writer;
    }

    /**
     * Reads the version from the key of a snapshot or segment, the last version for a segment.
     *
     * @param key the key
     * @return the version
     */
    static long version(String key) {
        String name = key.substring(key.lastIndexOf('/') + 1);
        String version = name.substring(0, name.indexOf('-'));
        String rest = name.substring(name.indexOf('-') + 1);
        return Long.parseLong(key.startsWith(SEGMENTS) ? rest : version);
    }

    /**
     * Writes a version so that keys sort by it.
     *
     * @param version the version
     * @return twelve digits
     */
    private static String digits(long version) {
        return String.format(Locale.ROOT, "%012d", version);
    }
}
