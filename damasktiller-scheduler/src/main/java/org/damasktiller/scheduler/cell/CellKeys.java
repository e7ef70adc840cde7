package org.damasktiller.scheduler.cell;

/** Names the keys that the system keeps in the store. */
public final class CellKeys {

    /** The prefix of what every process watches: owners and counts of waiting work. */
    public static final String PUBLISHED = "public/";

    /** The prefix of the keys of the owners; each goes with its owner's lease. */
    public static final String OWNERS = PUBLISHED + "owner/";

    /** The prefix of the counts of waiting work of each cell. */
    public static final String PENDING = PUBLISHED + "pending/";

    /** The prefix of the records that depend on a submission's identifier alone. */
    private static final String SUBMISSIONS = "submission/";

    /** Prevents instantiation. */
    private CellKeys() {}

    /**
     * Returns the key of a submission's record.
     *
     * @param id the submission's identifier
     * @return the key
     */
    public static String submission(String id) {
        return SUBMISSIONS + id;
    }

    /**
     * Returns the key of the owner of a cell.
     *
     * @param cell the cell
     * @return the key
     */
    public static String owner(String cell) {
        return OWNERS + cell;
    }

    /**
     * Returns the key of the counts of a cell.
     *
     * @param cell the cell
     * @return the key
     */
    public static String pending(String cell) {
        return PENDING + cell;
    }

    /**
     * Returns the key that each commit of an owner replaces.
     *
     * @param cell the cell
     * @return the key
     */
    public static String head(String cell) {
        return "head/" + cell;
    }

    /**
     * Returns the key of the list of workers that may run something for a cell.
     *
     * @param cell the cell
     * @return the key
     */
    public static String roster(String cell) {
        return "roster/" + cell;
    }

    /**
     * Returns the prefix of the open submissions of a cell.
     *
     * @param cell the cell
     * @return the prefix
     */
    public static String inbox(String cell) {
        return "open/" + cell + '/';
    }

    /**
     * Returns the prefix of the progress of a cell's submissions.
     *
     * @param cell the cell
     * @return the prefix
     */
    public static String progress(String cell) {
        return "progress/" + cell + '/';
    }
}
