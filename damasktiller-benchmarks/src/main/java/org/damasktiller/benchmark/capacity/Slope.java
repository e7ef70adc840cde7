package org.damasktiller.benchmark.capacity;

import java.util.function.ToDoubleFunction;
import org.apache.commons.math3.stat.regression.SimpleRegression;
import org.damasktiller.benchmark.FigureReport;

/** Fits a line through a quantity that was measured at several sizes, and reports it. */
final class Slope {

    /** The line. */
    private final SimpleRegression line = new SimpleRegression();

    /** Creates a line without points. */
    private Slope() {}

    /**
     * Measures a quantity at several sizes.
     *
     * @param sizes the sizes, at least three
     * @param measurement measures the quantity at one size
     * @return the line
     */
    static Slope of(int[] sizes, ToDoubleFunction<Integer> measurement) {
        Slope slope = new Slope();
        for (int size : sizes) {
            slope.line.addData(size, measurement.applyAsDouble(size));
        }
        return slope;
    }

    /**
     * Reports the slope with its standard error, and the value at size zero.
     *
     * @param report where the figures go
     * @param name the name of the quantity
     * @param unit the unit of the slope
     * @return this line
     */
    Slope report(FigureReport report, String name, String unit) {
        report.add(name + "_slope", line.getSlope(), unit);
        report.add(name + "_slope_error", line.getSlopeStdErr(), unit);
        report.add(name + "_base", line.getIntercept(), unit.substring(0, unit.indexOf('/')));
        return this;
    }

    /**
     * Works the quantity out for another size.
     *
     * @param size the size
     * @return the quantity on the line
     */
    double at(double size) {
        return line.predict(size);
    }

    /**
     * Returns the slope.
     *
     * @return the quantity for each one of size
     */
    double perUnit() {
        return line.getSlope();
    }
}
