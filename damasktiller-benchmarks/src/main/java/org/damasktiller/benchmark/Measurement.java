package org.damasktiller.benchmark;

/** Measures one part of the system. */
public interface Measurement {

    /**
     * Runs the measurement.
     *
     * @param quick whether to end within 50 seconds on 12 cores
     * @param report where the figures go
     */
    void run(boolean quick, FigureReport report);
}
