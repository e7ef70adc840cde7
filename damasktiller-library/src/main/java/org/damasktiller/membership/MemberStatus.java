package org.damasktiller.membership;

/**
 * Tells what is known of a member or endpoint. At one incarnation a later constant overrides an
 * earlier one.
 */
public enum MemberStatus {
    /** Answers and takes new work. */
    LIVE,
    /** Did not answer a probe; takes new work until the suspicion is confirmed. */
    SUSPECT,
    /** Answers, finishes its work and must receive no new work. */
    LEAVING,
    /** Did not answer until its suspicion was confirmed. */
    DEAD,
    /** Left after it finished its work. */
    LEFT;

    /**
     * Tells whether a member of this status still takes part.
     *
     * @return whether it is neither dead nor has left
     */
    public boolean present() {
        return this != DEAD && this != LEFT;
    }

    /**
     * Tells whether a member of this status may receive new work.
     *
     * @return whether it is live or merely suspected
     */
    public boolean takesNewWork() {
        return this == LIVE || this == SUSPECT;
    }
}
