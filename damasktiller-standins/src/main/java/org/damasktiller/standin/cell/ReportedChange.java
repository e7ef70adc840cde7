package org.damasktiller.standin.cell;

import org.damasktiller.authority.cell.JobStatus;

/**
 * Holds a committed change that a process reported.
 *
 * @param atMillis when it was reported, in milliseconds
 * @param status the state after the change
 */
public record ReportedChange(long atMillis, JobStatus status) {}
