package org.damasktiller.decision.dispatch;

import org.damasktiller.identity.JobId;
import org.damasktiller.resource.Resources;

/**
 * Holds a lagging usage report of one batch task.
 *
 * @param job the job
 * @param used what it used
 * @param reserved what it could use when it was measured
 * @param workAtRiskMillis the processor time since its last checkpoint, in milliseconds
 */
public record UsageReport(JobId job, Resources used, Resources reserved, long workAtRiskMillis) {}
