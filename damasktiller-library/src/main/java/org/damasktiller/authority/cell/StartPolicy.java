package org.damasktiller.authority.cell;

/** Gives the rule by which jobs of each kind of work are started. */
public interface StartPolicy {

    /** The policy that treats all kinds alike and limits none. */
    StartPolicy EVEN = submission -> StartRule.EVEN;

    /**
     * Gives the rule for a job.
     *
     * @param submission the job
     * @return the rule in force
     */
    StartRule ruleFor(JobSubmission submission);
}
