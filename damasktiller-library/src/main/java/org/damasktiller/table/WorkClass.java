package org.damasktiller.table;

/** Ranks kinds of work by how soon they have to start, the most urgent first. */
public enum WorkClass {
    /** Work that has to start within about a second, before all other work. */
    URGENT,
    /** Latency-critical work that a person waits for. */
    INTERACTIVE,
    /** Bulk work that runs on the remaining capacity, with a guaranteed minimum share. */
    BATCH
}
