package org.damasktiller.benchmark;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Supplier;
import org.damasktiller.benchmark.authority.AuthorityMeasurement;
import org.damasktiller.benchmark.capacity.CapacityMeasurement;
import org.damasktiller.benchmark.decisions.DecisionsMeasurement;
import org.damasktiller.benchmark.interactive.InteractiveMeasurement;
import org.damasktiller.benchmark.path.PathMeasurement;
import org.damasktiller.benchmark.table.TableMeasurement;
import org.jspecify.annotations.Nullable;

/** Runs the measurement named on the command line. */
public final class Measure {

    /** The exit code for a wrong command line. */
    private static final int EXIT_USAGE = 2;

    /** The flag for a short run. */
    private static final String QUICK_FLAG = "--quick";

    /** Prevents instantiation. */
    private Measure() {}

    /**
     * Runs one measurement. The exit code is 0 once all figures are printed, also where one falls
     * short, and 2 for a wrong command line.
     *
     * @param arguments the name of the measurement, optionally {@code --quick}, and words that the
     *     measurement understands
     */
    public static void main(String[] arguments) {
        List<String> words = Arrays.asList(arguments);
        boolean quick = words.contains(QUICK_FLAG);
        List<String> names = words.stream().filter(word -> !word.equals(QUICK_FLAG)).toList();
        @Nullable Supplier<Measurement> supplier =
                names.isEmpty() ? null : measurements().get(names.get(0));
        @Nullable Measurement measurement = supplier == null ? null : supplier.get();
        if (measurement == null || !measurement.accept(names.subList(1, names.size()))) {
            System.err.println(
                    "usage: ./measure NAME [--quick] [words of the measurement], NAME of "
                            + measurements().keySet());
            System.exit(EXIT_USAGE);
            return;
        }
        measurement.run(quick, new FigureReport(System.out));
        System.exit(0);
    }

    /**
     * Lists the measurements.
     *
     * @return a way to make each measurement, by name
     */
    private static Map<String, Supplier<Measurement>> measurements() {
        Map<String, Supplier<Measurement>> measurements = new TreeMap<>();
        measurements.put("authority", AuthorityMeasurement::new);
        measurements.put("capacity", CapacityMeasurement::new);
        measurements.put("decisions", DecisionsMeasurement::new);
        measurements.put("interactive", InteractiveMeasurement::new);
        measurements.put("path", PathMeasurement::new);
        measurements.put("table", TableMeasurement::new);
        return measurements;
    }
}
