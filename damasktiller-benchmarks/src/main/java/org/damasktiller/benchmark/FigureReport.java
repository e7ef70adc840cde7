package org.damasktiller.benchmark;

import java.io.PrintStream;
import java.util.Locale;

/** Prints one line a figure: name, value, unit, target and whether the target is met. */
public final class FigureReport {

    /** Where the lines go. */
    private final PrintStream output;

    /** The number of figures that fall short of their target. */
    private int shortFigures;

    /**
     * Creates a report.
     *
     * @param output where the lines go
     */
    public FigureReport(PrintStream output) {
        this.output = output;
    }

    /**
     * Prints a figure for which no target is stated.
     *
     * @param name the name of the figure, without spaces
     * @param value the value
     * @param unit the unit, without spaces
     */
    public void add(String name, double value, String unit) {
        print(name, value, unit, "-", true);
    }

    /**
     * Prints a figure with its target.
     *
     * @param name the name of the figure, without spaces
     * @param value the value
     * @param unit the unit, without spaces
     * @param target the target stated by the users or the issue, never the measured value
     * @param bound on which side of the target the value has to lie
     */
    public void add(String name, double value, String unit, double target, Bound bound) {
        boolean met = bound == Bound.AT_MOST ? value <= target : value >= target;
        print(name, value, unit, (bound == Bound.AT_MOST ? "<=" : ">=") + format(target), met);
    }

    /**
     * Returns how many figures fell short of their target.
     *
     * @return the number of figures
     */
    public int shortFigures() {
        return shortFigures;
    }

    /**
     * Prints one line.
     *
     * @param name the name
     * @param value the value
     * @param unit the unit
     * @param target the target as text
     * @param met whether the target is met
     */
    private void print(String name, double value, String unit, String target, boolean met) {
        if (!met) {
            shortFigures++;
        }
        output.println(String.join(" ", name, format(value), unit, target, met ? "ok" : "short"));
    }

    /**
     * Formats a value with four significant digits at least.
     *
     * @param value the value
     * @return the text
     */
    private static String format(double value) {
        if (value == Math.rint(value) && !Double.isInfinite(value)) {
            return String.format(Locale.ROOT, "%.0f", value);
        }
        return String.format(Locale.ROOT, "%.4g", value);
    }
}
