package org.damasktiller.lab.explain;

import java.util.List;

/**
 * The lines of several logs.
 *
 * @param lines the lines, in the order of time
 */
public record LogLines(List<LogLine> lines) {

    /** Copies the lines. */
    public LogLines {
        lines = List.copyOf(lines);
    }
}
