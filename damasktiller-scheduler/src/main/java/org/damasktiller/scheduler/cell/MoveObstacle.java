package org.damasktiller.scheduler.cell;

/** Why a submission has to stay in its cell; the first that applies counts. */
enum MoveObstacle {
    /** The submission may move. */
    NONE,

    /** Its final state is known, and is about to be stored. */
    OVER,

    /** Its progress can't be read or stored. */
    HELD_BACK,

    /** Its entry was removed while an earlier move was in progress. */
    REMOVED,

    /** One of its runs is or may be active. */
    ACTIVE_RUN,

    /** Its progress is divided into several records. */
    DIVIDED_PROGRESS,

    /** The store lacks some of its progress. */
    PROGRESS_NOT_STORED,

    /** Some of its tasks have their home in another cell. */
    PARTS_ELSEWHERE,

    /** It has long-running tasks, which move one by one. */
    LONG_RUNNING_TASKS,

    /** A run that a previous owner has started may be active. */
    RUN_OF_PREVIOUS_OWNER,

    /** A recorded start was sent, and its outcome is not known. */
    RECORDED_START
}
