package org.damasktiller.benchmark.decisions;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class ScenarioRunTest {

    private static final long SEED = 501;

    private static final int SECONDS = 1800;

    @ParameterizedTest
    @EnumSource(Scenario.class)
    void testTargetsThatNeedNoTiming(Scenario scenario) {
        for (Deployment deployment : Deployment.values()) {
            RunFigures own = run(deployment, scenario, PolicyName.DAMASKTILLER);
            RunFigures alone = run(deployment, scenario, PolicyName.SERVICES_ALONE);
            RunFigures threshold = run(deployment, scenario, PolicyName.THRESHOLD_EVICTION);
            assertThat(own.overcommits, is(0L));
            assertThat(threshold.overcommits, is(0L));
            double ratio = own.latencyMillis(99) / alone.latencyMillis(99);
            assertThat(ratio, is(lessThanOrEqualTo(1.2)));
            assertThat(10 * own.evictions, is(lessThanOrEqualTo(threshold.evictions)));
            double urgent = own.urgentWaits.getValueAtPercentile(99.9) / 1e6;
            assertThat(urgent, is(lessThanOrEqualTo(1.1)));
            assertThat(own.finished, is(greaterThan(0L)));
        }
    }

    @Test
    void testBatchWorkIsNearThatOfTheBaselinesThatIgnoreServices() {
        for (Deployment deployment : Deployment.values()) {
            Scenario scenario = Scenario.MORNING_BURST;
            double own = run(deployment, scenario, PolicyName.DAMASKTILLER).work;
            for (PolicyName name :
                    new PolicyName[] {
                        PolicyName.IGNORING_SERVICES,
                        PolicyName.FIRST_IN_FIRST_OUT,
                        PolicyName.LEAST_LOADED
                    }) {
                double best = run(deployment, scenario, name).work;
                assertThat(own, is(greaterThanOrEqualTo(0.9 * best)));
            }
        }
    }

    @Test
    void testBlackHoleWorkerTakesFewStartsAndIsReadmitted() {
        RunFigures own =
                DecisionsMeasurement.runOne(
                        Deployment.CARPATICA,
                        Scenario.BLACK_HOLE_WORKER,
                        PolicyName.DAMASKTILLER,
                        SEED,
                        3600);
        assertThat(own.startsOnFailing, is(greaterThan(0L)));
        assertThat((double) own.startsOnFailing / own.starts, is(lessThan(0.01)));
        assertThat(own.startsOnRepaired, is(greaterThan(2L)));
    }

    @Test
    void testSharesFollowWeightsWithinFivePercentWhereNoServiceLimitsThem() {
        for (Deployment deployment : Deployment.values()) {
            RunFigures figures =
                    DecisionsMeasurement.runOne(
                            deployment,
                            Scenario.WRONG_DECLARATIONS,
                            PolicyName.IGNORING_SERVICES,
                            SEED,
                            5400);
            assertThat(figures.shareError, is(greaterThan(0.0)));
            assertThat(figures.shareError, is(lessThanOrEqualTo(0.05)));
        }
    }

    @Test
    void testSameSeedGivesTheSameRun() {
        RunFigures first = run(Deployment.CARPATICA, Scenario.NOISY_WAVE, PolicyName.DAMASKTILLER);
        RunFigures second = run(Deployment.CARPATICA, Scenario.NOISY_WAVE, PolicyName.DAMASKTILLER);
        assertThat(second.latencies, is(first.latencies));
        assertThat(second.starts, is(first.starts));
        assertThat(second.work, is(first.work));
    }

    @Test
    void testImpossibleJobsAreRefusedBeforeAnyStart() {
        RunFigures own =
                run(Deployment.CORRIB, Scenario.CANCELLATION_WAVE, PolicyName.DAMASKTILLER);
        assertThat(own.refused, is(greaterThan(0L)));
        assertThat(own.refused, is(lessThan(own.hopeless)));
    }

    private static RunFigures run(Deployment deployment, Scenario scenario, PolicyName name) {
        return DecisionsMeasurement.runOne(deployment, scenario, name, SEED, SECONDS);
    }
}
