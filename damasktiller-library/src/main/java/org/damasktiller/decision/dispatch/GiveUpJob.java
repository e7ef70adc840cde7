package org.damasktiller.decision.dispatch;

import org.damasktiller.identity.JobId;

/**
 * Reports that a job is not run any more, because it can never run or fails everywhere.
 *
 * @param job the job
 * @param poisoned whether it failed on several workers; otherwise it was never started
 * @param reason the reason, for the caller
 */
public record GiveUpJob(JobId job, boolean poisoned, String reason) implements DispatchAction {}
