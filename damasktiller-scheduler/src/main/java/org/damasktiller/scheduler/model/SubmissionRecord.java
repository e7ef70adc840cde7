package org.damasktiller.scheduler.model;

/**
 * The location and state of a submission, stored under the submission's identifier so that it can
 * be found without knowing the cell. Stored as JSON under the names of the components.
 *
 * @param cell the name of the cell whose owner runs the submission; empty in the tombstone of a
 *     submission that was cancelled or rejected for good before it was stored
 * @param route the name of the route that accepted the submission; empty in a tombstone
 * @param state the state; RUNNING represents any state that is not final
 * @param changedUnixMillis when the state was written, in milliseconds since 1970
 */
public record SubmissionRecord(
        String cell, String route, SubmissionState state, long changedUnixMillis) {}
