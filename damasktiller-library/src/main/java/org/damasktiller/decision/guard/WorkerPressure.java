package org.damasktiller.decision.guard;

/** Holds what the guard remembers of one worker. */
final class WorkerPressure {

    /** When the guard last acted on the worker, in milliseconds. */
    long actedMillis = Long.MIN_VALUE / 2;

    /** When the guard last evicted a task of the worker, in milliseconds. */
    long evictedMillis = Long.MIN_VALUE / 2;

    /** The end of the last reading, in milliseconds. */
    long readMillis = Long.MIN_VALUE / 2;

    /** How many readings in a row were over the limit. */
    int over;

    /** How many readings in a row were below the release pressure. */
    int under;

    /** Creates the record of a worker without readings. */
    WorkerPressure() {}
}
