package org.damasktiller.table;

/**
 * Identifies a segment: a record that holds the deltas of consecutive versions.
 *
 * @param first the version of the first delta
 * @param last the version of the last delta, not less than the first
 */
record SegmentRange(long first, long last) {

    /**
     * Returns the key of the segment; the keys of segments sort by version.
     *
     * @return the key in the store
     */
    String key() {
        return TableKeys.segmentKey(first, last);
    }
}
