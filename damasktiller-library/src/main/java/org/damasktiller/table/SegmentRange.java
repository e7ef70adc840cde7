package org.damasktiller.table;

/**
 * Names a run of versions whose deltas are kept under one key.
 *
 * @param first the first version
 * @param last the last version, not below the first
 */
record SegmentRange(long first, long last) {

    /**
     * Returns the key of the segment; keys sort by version.
     *
     * @return the key in the store
     */
    String key() {
        return TableKeys.segment(first, last);
    }
}
