package org.damasktiller.scheduler.crash;

/** What is known of a cause of a crash that concerns several workers. */
public enum CommonCause {
    /** Nothing points to one. */
    NONE,
    /**
     * Many workers crashed at about the same time. Tasks of one kind may have crashed them, so that
     * it does not clear suspects.
     */
    LIKELY,
    /**
     * Workers crashed at about the same time on which no run explains that. It clears those that
     * are suspect for such crashes only.
     */
    SHOWN
}
