package org.damasktiller.daemon.operator;

/** Names the paths of the operators' interface. */
public final class OperatorPaths {

    /** Reads the table, or puts another in its place. */
    public static final String TABLE = "/v1/table";

    /** Changes one cell of the table. */
    public static final String TABLE_CELL = "/v1/table/cell";

    /** Lists the accepted edits. */
    public static final String TABLE_HISTORY = "/v1/table/history";

    /** Tells what the VM knows of the system. */
    public static final String STATUS = "/v1/status";

    /** Drains the VM. */
    public static final String DRAIN = "/v1/drain";

    /** Tells the metrics. */
    public static final String METRICS = "/metrics";

    /** Prevents instantiation. */
    private OperatorPaths() {}
}
