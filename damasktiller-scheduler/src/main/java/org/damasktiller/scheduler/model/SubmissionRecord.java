package org.damasktiller.scheduler.model;

/**
 * What is stored under a submission's identifier alone: which cell has it, and its state.
 *
 * @param cell the name of the cell whose owner runs the submission
 * @param route the name of the route that took it
 * @param state the state; RUNNING stands for any state that is not final
 * @param changedUnixMillis when the state was written, in milliseconds since 1970
 */
public record SubmissionRecord(
        String cell, String route, SubmissionState state, long changedUnixMillis) {}
