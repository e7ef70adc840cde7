package org.damasktiller.verification.fault;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.damasktiller.standin.cell.CallFault;
import org.damasktiller.standin.cell.HarnessTimes;

/** Runs every fault at every occurrence of every step, alone and followed by a second fault. */
public final class FaultMatrix {

    private static final int MAXIMUM_OCCURRENCES = 8;

    private static final int SECOND_FAULT_SEEDS = 3;

    private static final int MAXIMUM_CALLS_BETWEEN = 40;

    private FaultMatrix() {}

    /** Runs all cases. */
    public static MatrixResult runAll() {
        return run(allCases());
    }

    static MatrixResult run(List<FaultCase> cases) {
        Set<String> cells = new HashSet<>();
        List<String> broken = new ArrayList<>();
        int notReached = 0;
        for (FaultCase each : cases) {
            CaseFaults faults = new CaseFaults(each);
            List<String> found = new CellScenario(faults, times(each.seed())).run();
            found.forEach(message -> broken.add(each + " " + message));
            notReached += faults.reached() ? 0 : 1;
            cells.add(each.step() + " x " + each.fault());
        }
        return new MatrixResult(cells.size(), cases.size(), notReached, broken);
    }

    private static List<FaultCase> allCases() {
        List<FaultCase> cases = new ArrayList<>();
        for (Map.Entry<String, Integer> step : new TreeMap<>(nominalSteps()).entrySet()) {
            int occurrences = Math.min(step.getValue(), MAXIMUM_OCCURRENCES);
            for (int occurrence = 1; occurrence <= occurrences; occurrence++) {
                for (CallFault fault : CallFault.values()) {
                    if (fault != CallFault.NONE) {
                        addCases(cases, step.getKey(), occurrence, fault);
                    }
                }
            }
        }
        return cases;
    }

    private static void addCases(
            List<FaultCase> cases, String step, int occurrence, CallFault fault) {
        cases.add(new FaultCase(step, occurrence, fault, CallFault.NONE, 0, 0));
        for (int seed = 1; seed <= SECOND_FAULT_SEEDS; seed++) {
            long mixed = (step + occurrence + fault).hashCode() * 31L + seed;
            Random random = new Random(mixed);
            CallFault[] faults = CallFault.values();
            CallFault second = faults[1 + random.nextInt(faults.length - 1)];
            int between = 1 + random.nextInt(MAXIMUM_CALLS_BETWEEN);
            cases.add(new FaultCase(step, occurrence, fault, second, between, mixed));
        }
    }

    static Map<String, Integer> nominalSteps() {
        CaseFaults faults =
                new CaseFaults(new FaultCase("none", 1, CallFault.NONE, CallFault.NONE, 0, 0));
        List<String> broken = new CellScenario(faults, HarnessTimes.DEFAULT).run();
        if (!broken.isEmpty()) {
            throw new IllegalStateException("broken without a fault: " + broken);
        }
        return faults.occurrences();
    }

    private static HarnessTimes times(long seed) {
        Random random = new Random(seed);
        boolean longFault = seed != 0 && random.nextInt(3) == 0;
        long pause = longFault ? 25_000 : 9_000;
        long late = seed != 0 && random.nextBoolean() ? 1_500 : 3_000;
        long outage = longFault ? 20_000 : 8_000;
        return new HarnessTimes(100, 2, 1, 1_000, pause, late, outage, 2_000);
    }
}
