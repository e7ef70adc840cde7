package org.damasktiller.decision.interference;

/** Groups workers by how much of their processors is in use, since harm grows with the load. */
public enum LoadLevel {
    /** Less than half of the processors. */
    LOW(0),
    /** Up to three quarters. */
    MEDIUM(1),
    /** More than three quarters. */
    HIGH(2);

    /** The load at which the medium level begins. */
    private static final double MEDIUM_LOAD = 0.5;

    /** The load at which the high level begins. */
    private static final double HIGH_LOAD = 0.75;

    /** The position of the level in arrays and keys. */
    private final int index;

    /**
     * Creates a level.
     *
     * @param index the position of the level in arrays and keys
     */
    LoadLevel(int index) {
        this.index = index;
    }

    /**
     * Returns the position of the level in arrays and keys.
     *
     * @return the position, from 0
     */
    int index() {
        return index;
    }

    /**
     * Returns the level of a load.
     *
     * @param load the part of the processors in use
     * @return the level
     */
    public static LoadLevel of(double load) {
        if (load < MEDIUM_LOAD) {
            return LOW;
        }
        return load < HIGH_LOAD ? MEDIUM : HIGH;
    }
}
