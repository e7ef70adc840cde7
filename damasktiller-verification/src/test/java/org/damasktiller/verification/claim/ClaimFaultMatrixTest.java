package org.damasktiller.verification.claim;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.notNullValue;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.damasktiller.standin.cell.CallFault;
import org.damasktiller.standin.claim.ClaimScenario;
import org.damasktiller.standin.claim.ClaimStep;
import org.damasktiller.standin.claim.RequestTry;
import org.junit.jupiter.api.Test;

/**
 * Brings about every fault at every call of a run. A case is run alone by {@code mvn -pl
 * damasktiller-verification -am test -Dtest=ClaimFaultMatrixTest#testNamedCase
 * -Dsurefire.failIfNoSpecifiedTests=false -Ddamasktiller.claim.case=12:CRASH_BEFORE,40:STORE_DOWN},
 * where the numbers are those of calls.
 */
class ClaimFaultMatrixTest {

    private static final String CASE_PROPERTY = "damasktiller.claim.case";

    private static final Set<CallFault> FAULTS =
            EnumSet.range(CallFault.CRASH_BEFORE, CallFault.STORE_PARTITION);

    private static final int SECOND_FAULTS = 2_000;

    private static final long SEED = 20_261_203;

    @Test
    void testRunWithoutFaults() {
        ClaimScenario scenario = new ClaimScenario(Map.of());
        assertThat(scenario.run(), is(empty()));
        assertThat(
                scenario.tries().stream().map(RequestTry::told).toList(),
                everyItem(notNullValue()));
        assertThat(scenario.tries().stream().mapToInt(RequestTry::executions).sum(), equalTo(4));
    }

    @Test
    void testNamedCase() {
        String named = System.getProperty(CASE_PROPERTY, "");
        Map<Integer, CallFault> faults = new HashMap<>();
        for (String each : named.isEmpty() ? new String[0] : named.split(",", -1)) {
            String[] parts = each.split(":", 2);
            faults.put(Integer.valueOf(parts[0]), CallFault.valueOf(parts[1]));
        }
        assertThat(new ClaimScenario(faults).run(), is(empty()));
    }

    @Test
    void testEveryFaultAtEveryCall() {
        Map<String, Integer> cells = new TreeMap<>();
        List<String> violations = new ArrayList<>();
        int calls = callsWithoutFaults();
        for (int number = 1; number <= calls; number++) {
            for (CallFault fault : FAULTS) {
                runCase(Map.of(number, fault), violations, cells);
            }
        }
        print("single faults", cells, violations);
        assertThat(violations, is(empty()));
        for (ClaimStep step : ClaimStep.values()) {
            if (step != ClaimStep.GIVE_BACK) {
                for (CallFault fault : FAULTS) {
                    int least = neverHappens(step, fault) ? 0 : 1;
                    int cases = cells.getOrDefault(step + " " + fault, 0);
                    assertThat(cases, greaterThanOrEqualTo(least));
                }
            }
        }
    }

    @Test
    void testSecondFaultDuringRecovery() {
        Map<String, Integer> cells = new TreeMap<>();
        List<String> violations = new ArrayList<>();
        Random random = new Random(SEED);
        List<CallFault> faults = List.copyOf(FAULTS);
        int calls = callsWithoutFaults();
        for (int run = 0; run < SECOND_FAULTS; run++) {
            int first = 1 + random.nextInt(calls);
            int second = first + 1 + random.nextInt(20);
            Map<Integer, CallFault> both = new TreeMap<>();
            both.put(first, faults.get(random.nextInt(faults.size())));
            both.put(second, faults.get(random.nextInt(faults.size())));
            runCase(both, violations, cells);
        }
        print("second faults", cells, violations);
        assertThat(violations, is(empty()));
    }

    @Test
    void testEveryFaultWhileAClaimIsGivenBack() {
        Map<String, Integer> cells = new TreeMap<>();
        List<String> violations = new ArrayList<>();
        for (int first = 1; first <= callsWithoutFaults(); first++) {
            Map<Integer, CallFault> outage = Map.of(first, CallFault.STORE_DOWN);
            ClaimScenario scenario = new ClaimScenario(outage);
            scenario.run();
            for (Map.Entry<Integer, ClaimStep> call : scenario.steps().entrySet()) {
                if (call.getValue() == ClaimStep.GIVE_BACK) {
                    for (CallFault fault : FAULTS) {
                        Map<Integer, CallFault> both = new TreeMap<>(outage);
                        both.put(call.getKey(), fault);
                        runCase(both, violations, cells);
                    }
                }
            }
        }
        print("giving back", cells, violations);
        assertThat(violations, is(empty()));
        for (CallFault fault : FAULTS) {
            assertThat(cells.getOrDefault(ClaimStep.GIVE_BACK + " " + fault, 0), greaterThan(0));
        }
    }

    private static int callsWithoutFaults() {
        ClaimScenario scenario = new ClaimScenario(Map.of());
        scenario.run();
        return scenario.steps().size();
    }

    private static void runCase(
            Map<Integer, CallFault> faults, List<String> violations, Map<String, Integer> cells) {
        ClaimScenario scenario = new ClaimScenario(faults);
        for (String violation : scenario.run()) {
            violations.add(faults + ": " + violation);
        }
        faults.forEach(
                (number, fault) -> {
                    ClaimStep step = scenario.steps().get(number);
                    if (step != null && !neverHappens(step, fault)) {
                        cells.merge(step + " " + fault, 1, Integer::sum);
                    }
                });
    }

    /** A send is made on a TCP connection, which never duplicates it. */
    private static boolean neverHappens(ClaimStep step, CallFault fault) {
        return step == ClaimStep.SEND && fault == CallFault.DUPLICATED_CALL;
    }

    private static void print(String title, Map<String, Integer> cells, List<String> violations) {
        int cases = cells.values().stream().mapToInt(Integer::intValue).sum();
        System.out.println(
                "claims, "
                        + title
                        + ": "
                        + cases
                        + " faults in "
                        + cells.size()
                        + " cells, violations "
                        + violations.size());
        cells.forEach((cell, count) -> System.out.println("  " + cell + " " + count));
    }
}
