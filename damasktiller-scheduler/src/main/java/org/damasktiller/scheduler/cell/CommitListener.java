package org.damasktiller.scheduler.cell;

/** Called with the effects of the batches of a cell. */
interface CommitListener {

    /**
     * Called when the record of a finished job was changed by another process, which means that the
     * caller has cancelled the job.
     *
     * @param job the job
     */
    void onCancelled(Job job);

    /**
     * Called when the final state of a job is stored.
     *
     * @param job the finished job
     */
    void onStored(Job job);

    /**
     * Called when the effects of all run ends that a worker has reported are stored, so that the
     * worker can be told to discard them.
     *
     * @param worker the worker
     */
    void onEndsStored(WorkerRecord worker);
}
