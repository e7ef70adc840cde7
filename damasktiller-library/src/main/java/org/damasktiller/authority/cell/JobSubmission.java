package org.damasktiller.authority.cell;

import org.damasktiller.identity.RequestKey;
import org.damasktiller.identity.TenantName;
import org.damasktiller.table.KindOfWork;
import org.damasktiller.table.Repeat;
import org.damasktiller.table.WorkClass;
import org.damasktiller.worker.TaskSpec;

/**
 * Describes a job that a caller submits.
 *
 * @param key the request key; the same key gives the same job
 * @param tenant the tenant of the caller
 * @param workClass how soon the job has to run
 * @param repeat whether the job may be run again
 * @param task what to run
 */
public record JobSubmission(
        RequestKey key, TenantName tenant, WorkClass workClass, Repeat repeat, TaskSpec task) {

    /**
     * Describes a job of a kind of work.
     *
     * @param key the request key
     * @param kind the row of the table
     * @param payload the input of the task
     * @return the submission
     */
    public static JobSubmission of(RequestKey key, KindOfWork kind, String payload) {
        TaskSpec task = new TaskSpec(kind.name(), kind.declared(), kind.runTimeMillis(), payload);
        return new JobSubmission(key, kind.tenant(), kind.workClass(), kind.repeat(), task);
    }
}
