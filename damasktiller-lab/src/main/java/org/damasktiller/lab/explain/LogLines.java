package org.damasktiller.lab.explain;

import java.util.List;

/**
 * The merged lines of the logs of several entry VMs.
 *
 * @param lines the lines, in the order of their times
 */
public record LogLines(List<LogLine> lines) {

    /** Copies the lines. */
    public LogLines {
        lines = List.copyOf(lines);
    }
}
