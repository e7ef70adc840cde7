package org.damasktiller.benchmark.capacity;

/** Holds the size to design for and its bounds, as the users stated them. */
final class DesignSize {

    /** Workers in all. */
    static final double WORKERS = 10_000;

    /** Entry VMs in all, of the sizes at which membership is measured. */
    static final double ENTRY_VMS = 59;

    /** Availability zones. */
    static final double ZONES = 9;

    /** Workers of a cell. */
    static final double WORKERS_PER_CELL = 100;

    /** Cells in all. */
    static final double CELLS = WORKERS / WORKERS_PER_CELL;

    /** Running tasks, latency-critical and batch. */
    static final double TASKS = 242_000;

    /** Task starts a second at the peak. */
    static final double STARTS_PER_SECOND = 9_600;

    /** Jobs a day. */
    static final double JOBS_PER_DAY = 160_000;

    /** Changes of the list of VMs a day: failures and restarts, each leaving and coming. */
    static final double LIST_CHANGES_PER_DAY = 2 * (59 + 1_300);

    /** The part of a core that a node may spend on control. */
    static final double CORE_SHARE = 0.042;

    /** The megabytes that a node may spend on control. */
    static final double MEGABYTES = 128;

    /** The bytes a second that a node may spend on control. */
    static final double BYTES_PER_SECOND = 2_000;

    /** Reads a second of the key-value service. */
    static final double STORE_READS = 2_000;

    /** Writes a second of the key-value service. */
    static final double STORE_WRITES = 300;

    /** The number of bytes in a megabyte. */
    static final double BYTES_PER_MEGABYTE = 1e6;

    /** The number of nanoseconds in a second. */
    static final double NANOS_PER_SECOND = 1e9;

    /** Prevents instantiation. */
    private DesignSize() {}
}
