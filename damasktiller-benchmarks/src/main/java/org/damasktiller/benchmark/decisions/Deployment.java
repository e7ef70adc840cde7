package org.damasktiller.benchmark.decisions;

import org.damasktiller.resource.Resources;

/** Lists the deployments whose sizes are measured. */
public enum Deployment {
    /** Corrib: 45 workers of 64 processors and 250 GB. */
    CORRIB(45, 64, 250, 2),
    /** Carpatica: 33 workers of 16 processors and 60 GB. */
    CARPATICA(33, 16, 60, 1);

    /** The thousandths of a processor, or the megabytes of a gigabyte. */
    private static final long THOUSAND = 1000;

    /** How many times the smallest job's processors a job of each batch kind uses. */
    private static final int[] BATCH_SIZES = {4, 2, 1, 2, 4, 1};

    /** The number of workers. */
    private final int workers;

    /** The processors of each worker. */
    private final int processors;

    /** The gigabytes of each worker. */
    private final int gigabytes;

    /** The processors of the smallest batch job. */
    private final int smallestJob;

    /**
     * Creates a deployment.
     *
     * @param workers the number of workers
     * @param processors the processors of each worker
     * @param gigabytes the gigabytes of each worker
     * @param smallestJob the processors of the smallest batch job
     */
    Deployment(int workers, int processors, int gigabytes, int smallestJob) {
        this.workers = workers;
        this.processors = processors;
        this.gigabytes = gigabytes;
        this.smallestJob = smallestJob;
    }

    /**
     * Returns the number of workers.
     *
     * @return the number
     */
    public int workers() {
        return workers;
    }

    /**
     * Returns the capacity of each worker.
     *
     * @return the capacity
     */
    public Resources capacity() {
        return new Resources(processors * THOUSAND, gigabytes * THOUSAND, 0);
    }

    /**
     * Returns the processors that a job of a batch kind uses.
     *
     * @param kind the position of the kind
     * @return the processors
     */
    int batchProcessors(int kind) {
        return smallestJob * BATCH_SIZES[kind % BATCH_SIZES.length];
    }
}
