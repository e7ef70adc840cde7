package org.damasktiller.verification.fault;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/**
 * Runs every fault at every step, alone and followed by a second fault. One case alone: {@code mvn
 * -B -pl damasktiller-verification -am test -Dtest=FaultMatrixTest
 * -Dsurefire.failIfNoSpecifiedTests=false -Dfault.case=CASE} with a case as the matrix prints it.
 */
class FaultMatrixTest {

    private static final String CASE_PROPERTY = "fault.case";

    private static final int MAXIMUM_PRINTED = 40;

    @Test
    void testEveryFaultAtEveryStep() {
        String single = System.getProperty(CASE_PROPERTY);
        MatrixResult result =
                single == null
                        ? FaultMatrix.runAll()
                        : FaultMatrix.run(List.of(FaultCase.parse(single)));
        System.out.printf(
                "fault matrix: cells %d cases %d not-reached %d violations %d%n",
                result.cells(), result.cases(), result.notReached(), result.broken().size());
        result.broken().stream().limit(MAXIMUM_PRINTED).forEach(System.out::println);
        assertThat(result.broken(), empty());
        assertThat(result.notReached(), is(0));
    }

    @Test
    void testScenarioTakesEveryStep() {
        Map<String, Integer> steps = FaultMatrix.nominalSteps();
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
}
