package org.damasktiller.benchmark;

import java.util.List;

/** Measures one part of the system. */
public interface Measurement {

    /**
     * Takes further words of the command line.
     *
     * @param words the words after the name, without {@code --quick}
     * @return whether the words are understood; by default only if there are none
     */
    default boolean accept(List<String> words) {
        return words.isEmpty();
    }

    /**
     * Runs the measurement.
     *
     * @param quick whether to end within 50 seconds on 12 cores
     * @param report where the figures go
     */
    void run(boolean quick, FigureReport report);
}
