package org.damasktiller.table;

/** Ranks kinds of work by how soon they have to run. */
public enum WorkClass {
    /** Work that has to start within about a second, before any other. */
    URGENT,
    /** Latency-critical work for which a person waits. */
    INTERACTIVE,
    /** Bulk work that runs on what is left, with a guaranteed minimum. */
    BATCH
}
