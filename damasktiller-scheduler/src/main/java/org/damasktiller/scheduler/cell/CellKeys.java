package org.damasktiller.scheduler.cell;

/** Builds the keys under which the scheduler keeps its records in the store. */
public final class CellKeys {

    /**
     * The prefix of the keys that every process watches: the owners and pending counts of all
     * cells.
     */
    public static final String PUBLIC_PREFIX = "public/";

    /**
     * The prefix of the owner keys, one per cell; each is deleted when its owner's store lease
     * ends.
     */
    public static final String OWNER_PREFIX = PUBLIC_PREFIX + "owner/";

    /** The prefix of the pending counts, one key per cell; see {@link PendingRecord}. */
    public static final String PENDING_PREFIX = PUBLIC_PREFIX + "pending/";

    /** The prefix of the keys of living processes, one key per VM. */
    public static final String NODE_PREFIX = PUBLIC_PREFIX + "node/";

    /** The key that fixes how zones are divided into cells; see {@link LayoutRecord}. */
    public static final String LAYOUT = PUBLIC_PREFIX + "layout";

    /** The key of what the last published version of the operator's manifest changed. */
    public static final String MANIFEST_CHANGE = PUBLIC_PREFIX + "manifest-change";

    /** The prefix of the list of tombstones, one key per submission without a record. */
    public static final String TOMBSTONE_PREFIX = "tombstone/";

    /** The prefix of the submission records, which are found without knowing the cell. */
    private static final String SUBMISSION_PREFIX = "submission/";

    /** Prevents instantiation. */
    private CellKeys() {}

    /**
     * Returns the key of a submission's record, which names its cell and state.
     *
     * @param id the identifier of the submission
     * @return the key
     */
    public static String submission(String id) {
        return SUBMISSION_PREFIX + id;
    }

    /**
     * Returns the key by which the tombstone of a submission is found for its removal. It is
     * written in one transaction with the tombstone and has the same revision.
     *
     * @param id the identifier of the submission
     * @return the key
     */
    public static String tombstone(String id) {
        return TOMBSTONE_PREFIX + id;
    }

    /**
     * Returns the key of the cells that have a part of a submission; it exists once tasks of the
     * submission have moved to another cell.
     *
     * @param id the identifier of the submission
     * @return the key
     */
    public static String parts(String id) {
        return "parts/" + id;
    }

    /**
     * Returns the key that names the owner of a cell; it exists while the cell has an owner.
     *
     * @param cell the name of the cell
     * @return the key
     */
    public static String owner(String cell) {
        return OWNER_PREFIX + cell;
    }

    /**
     * Returns the key of the pending counts of a cell.
     *
     * @param cell the name of the cell
     * @return the key
     */
    public static String pending(String cell) {
        return PENDING_PREFIX + cell;
    }

    /**
     * Returns the key of a cell's head record, which each commit of the owner replaces on condition
     * of its revision.
     *
     * @param cell the name of the cell
     * @return the key
     */
    public static String head(String cell) {
        return "head/" + cell;
    }

    /**
     * Returns the key of a cell's roster, the list of workers that may run tasks of the cell.
     *
     * @param cell the name of the cell
     * @return the key
     */
    public static String roster(String cell) {
        return "roster/" + cell;
    }

    /**
     * Returns the key of the estimates of how fillers harm serving tasks in a cell.
     *
     * @param cell the name of the cell
     * @return the key
     */
    public static String interference(String cell) {
        return "interference/" + cell;
    }

    /**
     * Returns the prefix of the open submissions of a cell; the submission identifier follows it.
     *
     * @param cell the name of the cell
     * @return the prefix
     */
    public static String openSubmissionsPrefix(String cell) {
        return "open/" + cell + '/';
    }

    /**
     * Returns the prefix of the progress records of a cell; the submission identifier follows it.
     *
     * @param cell the name of the cell
     * @return the prefix
     */
    public static String progressPrefix(String cell) {
        return "progress/" + cell + '/';
    }

    /**
     * Returns the key of a block of the progress of a large submission.
     *
     * @param cell the name of the cell
     * @param id the identifier of the submission
     * @param block the number of the block, or {@link StoredBlocks#HEADER} for the key of the
     *     progress itself
     * @return the key
     */
    static String progressBlock(String cell, String id, int block) {
        String key = progressPrefix(cell) + id;
        return block == StoredBlocks.HEADER ? key : key + '/' + block;
    }
}
