package org.damasktiller.scheduler.cell;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Which blocks of the progress of a large submission have changed, are being stored, and may be in
 * the store.
 */
final class StoredBlocks {

    /** Stands for the record which tells that the progress is in blocks. */
    static final int HEADER = -1;

    /** The most blocks of a submission in a transaction, which leaves rows for others. */
    static final int MAX_BLOCKS_PER_BATCH = 12;

    /** The blocks to store, in order, with the version of the job that changed each first. */
    private final Map<Integer, Long> changed = new LinkedHashMap<>();

    /** The blocks in the batch whose outcome is not known yet, with the same versions. */
    private final Map<Integer, Long> sent = new LinkedHashMap<>();

    /** The blocks that may be in the store. */
    private final Set<Integer> stored = new TreeSet<>();

    /** Creates the state of a job without progress. */
    StoredBlocks() {}

    /**
     * Takes note of a block that is in the store.
     *
     * @param block the number of the block, or {@link #HEADER}
     */
    void onLoaded(int block) {
        stored.add(block);
    }

    /**
     * Takes note of changes. The header follows the first blocks, so that it replaces progress in
     * the form of a single value only after all of it is in blocks.
     *
     * @param blocks the numbers of the blocks
     * @param version the version of the job that includes the changes
     */
    void onChanged(Collection<Integer> blocks, long version) {
        blocks.forEach(block -> changed.putIfAbsent(block, version));
        if (!hasHeader()) {
            changed.putIfAbsent(HEADER, version);
        }
    }

    /**
     * Returns whether blocks wait for a batch.
     *
     * @return whether there are any
     */
    boolean hasChanges() {
        return !changed.isEmpty();
    }

    /**
     * Returns the number of blocks that the next batch stores.
     *
     * @return the number
     */
    int countNext() {
        return Math.min(MAX_BLOCKS_PER_BATCH, changed.size());
    }

    /**
     * Takes the blocks of the next batch.
     *
     * @return the numbers of the blocks, those that have waited longest
     */
    List<Integer> takeNext() {
        List<Integer> next =
                new ArrayList<>(changed.keySet().stream().limit(MAX_BLOCKS_PER_BATCH).toList());
        for (Integer block : next) {
            sent.put(block, changed.getOrDefault(block, 0L));
            changed.remove(block);
            stored.add(block);
        }
        return next;
    }

    /**
     * Takes note that the blocks of the last batch are stored.
     *
     * @param version the version of the job when the batch was made
     * @return the highest version of which all changes are stored
     */
    long onStored(long version) {
        sent.clear();
        long storedVersion = version;
        for (long first : changed.values()) {
            storedVersion = Math.min(storedVersion, first - 1);
        }
        return storedVersion;
    }

    /** Takes note that the blocks of the last batch are not stored and won't be. */
    void onDiscarded() {
        Map<Integer, Long> later = new LinkedHashMap<>(changed);
        changed.clear();
        changed.putAll(sent);
        later.forEach(changed::putIfAbsent);
        sent.clear();
    }

    /**
     * Returns whether the record which tells that the progress is in blocks may be in the store.
     *
     * @return whether it was read or sent
     */
    boolean hasHeader() {
        return stored.contains(HEADER);
    }

    /**
     * Returns the blocks that may be in the store.
     *
     * @return the numbers of the blocks, without the header
     */
    Set<Integer> stored() {
        Set<Integer> blocks = new TreeSet<>(stored);
        blocks.remove(HEADER);
        return blocks;
    }
}
