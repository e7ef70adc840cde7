package org.damasktiller.verification.fault;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.damasktiller.standin.cell.CallFault;
import org.damasktiller.standin.cell.HarnessTimes;
import org.junit.jupiter.api.Test;

/**
 * Runs every fault at every step, alone and followed by a second fault. One case alone: {@code mvn
 * -B -pl damasktiller-verification -am test -Dtest=FaultMatrixTest
 * -Dsurefire.failIfNoSpecifiedTests=false -Dfault.case=CASE} with a case as the matrix prints it.
 */
class FaultMatrixTest {

    private static final String CASE_PROPERTY = "fault.case";

    private static final int MAXIMUM_OCCURRENCES = 8;

    private static final int SECOND_FAULT_SEEDS = 3;

    private static final int MAXIMUM_CALLS_BETWEEN = 40;

    private static final int MAXIMUM_PRINTED = 40;

    @Test
    void testEveryFaultAtEveryStep() {
        String single = System.getProperty(CASE_PROPERTY);
        List<FaultCase> cases = single == null ? allCases() : List.of(FaultCase.parse(single));
        Map<String, Integer> cells = new TreeMap<>();
        List<String> broken = new ArrayList<>();
        int notReached = 0;
        for (FaultCase each : cases) {
            CaseFaults faults = new CaseFaults(each);
            List<String> found = new CellScenario(faults, times(each.seed())).run();
            found.forEach(message -> broken.add(each + " " + message));
            notReached += faults.reached() ? 0 : 1;
            cells.merge(each.step() + " x " + each.fault(), 1, Integer::sum);
        }
        System.out.printf(
                "fault matrix: cells %d cases %d not-reached %d violations %d%n",
                cells.size(), cases.size(), notReached, broken.size());
        broken.stream().limit(MAXIMUM_PRINTED).forEach(System.out::println);
        assertThat(broken, empty());
    }

    @Test
    void testScenarioTakesEveryStep() {
        Map<String, Integer> steps = nominalSteps();
        System.out.println("fault matrix: steps of the scenario " + new TreeMap<>(steps));
        for (String step :
                List.of(
                        "read-owner",
                        "grant-lease",
                        "write-owner",
                        "read-head",
                        "take-over",
                        "renew-lease",
                        "read-segment",
                        "commit",
                        "write-segment",
                        "delete-segment",
                        "throttle",
                        "revoke-lease",
                        "probe",
                        "fence",
                        "start",
                        "renew",
                        "stop",
                        "acknowledge")) {
            assertThat(step, steps.getOrDefault(step, 0), greaterThan(0));
        }
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

    private static Map<String, Integer> nominalSteps() {
        CaseFaults faults =
                new CaseFaults(new FaultCase("none", 1, CallFault.NONE, CallFault.NONE, 0, 0));
        List<String> broken = new CellScenario(faults, HarnessTimes.DEFAULT).run();
        assertThat(broken, empty());
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
