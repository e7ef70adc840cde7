package org.damasktiller.lab.soak;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.apache.commons.math3.random.Well19937c;
import org.damasktiller.lab.load.SubmittedTaskBehaviour;
import org.damasktiller.lab.rig.LabEventLoop;
import org.damasktiller.lab.rig.LocalDeployment;
import org.damasktiller.lab.rig.LocalDeploymentSettings;
import org.damasktiller.lab.rig.LocalWorker;
import org.damasktiller.standin.fleet.RunInvariantChecker;
import org.damasktiller.standin.time.VirtualTimeRuntime;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests which workers there are while they are replaced. */
class WorkerReplacementFaultTest {

    private static final int WORKERS = 4;

    private final VirtualTimeRuntime runtime = new VirtualTimeRuntime();

    private final Set<String> identifiers = new TreeSet<>();

    private final Set<Long> usableCounts = new TreeSet<>();

    @TempDir private Path directory;

    @Test
    void eachWorkerThatLeavesForGoodIsReplacedByANewOne() {
        try (LabEventLoop loop = new LabEventLoop("replacement-test", line -> {})) {
            List<LocalWorker> remaining =
                    loop.await(
                            result -> {
                                LocalDeployment deployment = create(loop);
                                WorkerReplacementFault fault =
                                        new WorkerReplacementFault(
                                                runtime, new Well19937c(1), deployment);
                                fault.begin();
                                pass(deployment, 10_000);
                                fault.end();
                                pass(deployment, 6_000);
                                result.complete(deployment.workers());
                            });
            assertThat(usableCounts, is(Set.of((long) WORKERS)));
            assertThat(identifiers.size(), greaterThan(2 * WORKERS));
            assertThat(remaining.size(), is(WORKERS));
        }
    }

    /**
     * Lets time pass, and records the workers.
     *
     * @param deployment the deployment of the workers
     * @param millis the time, in milliseconds
     */
    private void pass(LocalDeployment deployment, long millis) {
        for (long passed = 0; passed < millis; passed += 100) {
            runtime.advance(100);
            usableCounts.add(deployment.workers().stream().filter(LocalWorker::isUsable).count());
            deployment.workers().forEach(worker -> identifiers.add(worker.simulatedWorker().id()));
        }
    }

    /**
     * Creates a deployment whose entry VMs are not started.
     *
     * @param loop the event loop
     * @return the deployment
     */
    private LocalDeployment create(LabEventLoop loop) {
        return new LocalDeployment(
                loop,
                LocalDeploymentSettings.builder(directory).workers(WORKERS).build(),
                new SubmittedTaskBehaviour(new Well19937c(1), 0),
                new RunInvariantChecker(1),
                new Well19937c(1));
    }
}
