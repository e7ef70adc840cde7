package org.damasktiller.lab.soak;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.apache.commons.math3.random.Well19937c;
import org.damasktiller.lab.load.SubmittedTaskBehaviour;
import org.damasktiller.lab.rig.LabEventLoop;
import org.damasktiller.lab.rig.LocalDeployment;
import org.damasktiller.lab.rig.LocalDeploymentSettings;
import org.damasktiller.standin.fleet.RunInvariantChecker;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests that a seed of a soak plays the same faults each time. */
class FaultPlannerTest {

    private static final long SPAN_MILLIS = 30_000;

    @TempDir private Path directory;

    // Seeds did not replay their faults, since the load drew from the same generator.
    @Test
    void seedPlansSameFaultsAtSameTargetsWhateverElseIsDrawn() {
        List<String> plan = describe(7, 0);

        assertThat(describe(7, 1_000), is(plan));
        assertThat(describe(8, 0), is(not(plan)));
    }

    @Test
    void workerThatHasLeftDoesNotChangeTargetsOfOtherFaults() {
        try (LabEventLoop loop = new LabEventLoop("plan-test", line -> {})) {
            List<List<String>> plans =
                    loop.await(
                            result -> {
                                LocalDeployment deployment = create(loop, new Well19937c(1));
                                FaultGenerator generator = generator(deployment);
                                List<String> before = describe(generator, 7);
                                String left = deployment.workers().get(3).simulatedWorker().id();
                                deployment.removeWorker(deployment.workers().get(3));
                                deployment.addWorker();
                                List<String> after = describe(generator, 7);
                                for (int number = 0; number < before.size(); number++) {
                                    if (before.get(number).contains(left)) {
                                        after.set(number, before.get(number));
                                    }
                                }
                                result.complete(List.of(before, after));
                            });
            assertThat(plans, hasSize(2));
            assertThat(plans.get(1), is(plans.get(0)));
        }
    }

    /**
     * Describes the faults of a seed.
     *
     * @param seed the seed
     * @param otherDraws how many numbers the emulated services draw first
     * @return a line for each fault
     */
    private List<String> describe(long seed, int otherDraws) {
        try (LabEventLoop loop = new LabEventLoop("plan-test", line -> {})) {
            return loop.await(
                    result -> {
                        Well19937c serviceRandom = new Well19937c(seed);
                        FaultGenerator generator = generator(create(loop, serviceRandom));
                        for (int draw = 0; draw < otherDraws; draw++) {
                            serviceRandom.nextInt();
                        }
                        result.complete(describe(generator, seed));
                    });
        }
    }

    private static List<String> describe(FaultGenerator generator, long seed) {
        return new ArrayList<>(
                FaultPlanner.plan(seed, SPAN_MILLIS).stream()
                        .map(
                                planned ->
                                        planned.startMillis()
                                                + " "
                                                + generator.create(planned.seed()).describe()
                                                + " "
                                                + planned.durationMillis())
                        .toList());
    }

    private static FaultGenerator generator(LocalDeployment deployment) {
        return new FaultGenerator(deployment, SoakLoad.createManifest());
    }

    private LocalDeployment create(LabEventLoop loop, Well19937c serviceRandom) {
        return new LocalDeployment(
                loop,
                LocalDeploymentSettings.builder(directory).build(),
                new SubmittedTaskBehaviour(serviceRandom, 0),
                new RunInvariantChecker(1),
                serviceRandom);
    }
}
