package org.damasktiller.lab.rig;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.nio.file.Path;
import java.util.List;
import org.apache.commons.math3.random.Well19937c;
import org.damasktiller.lab.load.SubmittedTaskBehaviour;
import org.damasktiller.scheduler.model.Resources;
import org.damasktiller.scheduler.port.StoreItem;
import org.damasktiller.standin.fleet.RunInvariantChecker;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests which workers a deployment has, and their room. The entry VMs are not started. */
class LocalDeploymentTest {

    private static final Resources CAPACITY = new Resources(2_000, 2_000, 0);

    private static final Resources DEMAND = new Resources(1_000, 1_000, 0);

    @TempDir private Path directory;

    @Test
    void workerThatHasLeftNeverComesBack() {
        try (LabEventLoop loop = new LabEventLoop("deployment-test", line -> {})) {
            LocalDeployment deployment = create(loop, 2);
            LocalWorker leaving = deployment.workers().get(1);
            List<StoreItem> registrations =
                    loop.await(
                            result -> {
                                deployment.removeWorker(leaving);
                                deployment.addWorker();
                                leaving.register(false, 0);
                                leaving.bootIfCrashed();
                                result.complete(registrations(deployment));
                            });
            assertThat(leaving.isUsable(), is(false));
            assertThat(
                    deployment.workers().stream()
                            .map(worker -> worker.simulatedWorker().id())
                            .toList(),
                    is(List.of("worker-000", "worker-002")));
            assertThat(registrations.size(), is(2));
        }
    }

    @Test
    void roomIsThatOfWorkersThatRunAndDoNotDrain() {
        try (LabEventLoop loop = new LabEventLoop("deployment-test", line -> {})) {
            LocalDeployment deployment = create(loop, 3);
            List<Integer> room =
                    loop.await(
                            result -> {
                                int before = deployment.roomFor(DEMAND);
                                deployment.workers().get(0).register(true, 1);
                                deployment.workers().get(1).crash();
                                int after = deployment.roomFor(DEMAND);
                                int larger = deployment.roomFor(CAPACITY);
                                result.complete(List.of(before, after, larger));
                            });
            assertThat(room, is(List.of(6, 2, 1)));
        }
    }

    /**
     * Creates a deployment.
     *
     * @param loop the event loop
     * @param workers the number of workers
     * @return the deployment
     */
    private LocalDeployment create(LabEventLoop loop, int workers) {
        LocalDeploymentSettings settings =
                LocalDeploymentSettings.builder(directory)
                        .workers(workers)
                        .capacity(CAPACITY)
                        .build();
        return loop.await(
                created ->
                        created.complete(
                                new LocalDeployment(
                                        loop,
                                        settings,
                                        new SubmittedTaskBehaviour(new Well19937c(1), 0),
                                        new RunInvariantChecker(1),
                                        new Well19937c(1))));
    }

    /**
     * Lists the registrations of workers in the store.
     *
     * @param deployment the deployment
     * @return the items
     */
    private static List<StoreItem> registrations(LocalDeployment deployment) {
        return deployment
                .store()
                .list(LocalDeployment.RECORD_DECODER.workerKeyPrefix(), "")
                .items();
    }
}
