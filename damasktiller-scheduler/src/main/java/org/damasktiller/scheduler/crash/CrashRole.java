package org.damasktiller.scheduler.crash;

/** How a run is involved in the crash of its worker. */
public enum CrashRole {
    /** The run is not the cause: it had been active for long. */
    UNINVOLVED,
    /** Other runs, or a cause that concerns many workers, are more likely. */
    BYSTANDER,
    /** The task is suspect, but a cause that concerns many workers is as likely. */
    UNCERTAIN,
    /** The run may be the cause. */
    CANDIDATE
}
