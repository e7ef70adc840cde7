package org.damasktiller.authority.commit;

/**
 * Names the keys of one log in the key-value service.
 *
 * @param prefix the prefix of all keys, ending in a slash
 */
public record LogKeys(String prefix) {

    /**
     * Returns the key of the record that is bound to the owner's store lease.
     *
     * @return the key
     */
    public String owner() {
        return prefix + "owner";
    }

    /**
     * Returns the key of the head.
     *
     * @return the key
     */
    public String head() {
        return prefix + "head";
    }

    /**
     * Returns the key of a segment.
     *
     * @param reference the segment
     * @return the key
     */
    public String segment(SegmentReference reference) {
        return prefix + "segment/" + reference.generation() + "-" + reference.number();
    }
}
