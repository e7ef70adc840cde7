package org.damasktiller.verification.owner;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;

import java.util.List;
import java.util.Set;
import org.damasktiller.scheduler.model.Resources;
import org.damasktiller.scheduler.model.StepSpec;
import org.damasktiller.standin.fleet.SimulatedWorker;
import org.damasktiller.verification.owner.CellSimulation.OwnerProcess;
import org.junit.jupiter.api.Test;

/**
 * Tests a worker that has started again as another kind, and whose entry in the store is still that
 * of the boot before.
 */
final class OutdatedEntryTest {

    private static final String KIND = "large";

    private static final String SUBMISSION = "00000000000000a1";

    private static final String WORKER = "w0";

    /** The time in which an owner starts waiting tasks, in milliseconds. */
    private static final long START_MILLIS = 5_000;

    // Tasks started on a worker without the label that their step requires.
    @Test
    void workerOfALaterBootIsNotUsedByTheLabelsOfItsFormerEntry() {
        CellSimulation simulation = createSimulation();
        simulation.startOwner();
        simulation.runtime.advance(START_MILLIS);
        simulation.workers.get(WORKER).boot();
        simulation.runtime.advance(2_000);
        simulation.submit(SUBMISSION, stepFor(KIND));
        simulation.runtime.advance(START_MILLIS);
        assertThat(simulation.startCount(WORKER), equalTo(0));
        simulation.register(WORKER, false);
        simulation.runtime.advance(START_MILLIS);
        assertThat(simulation.startCount(WORKER), greaterThan(0));
    }

    // The owner learns of the entry and of the boot one after the other.
    @Test
    void newOwnerDoesNotUseTheLabelsOfAFormerEntry() {
        CellSimulation simulation = createSimulation();
        simulation.runtime.advance(2_000);
        simulation.workers.get(WORKER).boot();
        simulation.startOwner();
        simulation.submit(SUBMISSION, stepFor(KIND));
        simulation.runtime.advance(START_MILLIS);
        assertThat(simulation.startCount(WORKER), equalTo(0));
    }

    @Test
    void workerOfALaterBootIsUsedByTasksWithoutRequirements() {
        CellSimulation simulation = createSimulation();
        simulation.startOwner();
        simulation.runtime.advance(START_MILLIS);
        simulation.workers.get(WORKER).boot();
        simulation.runtime.advance(2_000);
        simulation.submit(SUBMISSION, CellSimulation.shortStep(1));
        simulation.runtime.advance(START_MILLIS);
        assertThat(simulation.startCount(WORKER), equalTo(1));
    }

    // The tasks filled the room of the former boot.
    @Test
    void workerThatDoesNotGuardItsCapacityGetsNothingByTheRoomOfItsFormerEntry() {
        CellSimulation simulation = createSimulation();
        simulation.unguardedServices = Set.of(CellSimulation.CELL);
        SimulatedWorker worker = simulation.workers.get(WORKER);
        worker.ignoreCapacity();
        simulation.startOwner();
        simulation.runtime.advance(START_MILLIS);
        worker.boot();
        worker.resize(new Resources(2_000, 2_000, 0));
        simulation.runtime.advance(2 * START_MILLIS);
        simulation.submit(SUBMISSION, CellSimulation.shortStep(4));
        simulation.runtime.advance(START_MILLIS);
        assertThat(simulation.invariants.violations(), empty());
        simulation.register(WORKER, false);
        simulation.runtime.advance(START_MILLIS);
        assertThat(simulation.startCount(WORKER), equalTo(4));
        assertThat(simulation.invariants.violations(), empty());
    }

    // A service that the manifest lacked for a moment counted as one that guards its capacity.
    @Test
    void workersOfAServiceThatTheManifestLacksGetNothingByAnOutdatedEntry() {
        CellSimulation simulation = createSimulation();
        simulation.unguardedServices = Set.of(CellSimulation.CELL);
        SimulatedWorker worker = simulation.workers.get(WORKER);
        worker.ignoreCapacity();
        OwnerProcess owner = simulation.startOwner();
        simulation.runtime.advance(START_MILLIS);
        simulation.serviceMissing = true;
        simulation.publishManifest(owner);
        worker.boot();
        worker.resize(new Resources(2_000, 2_000, 0));
        simulation.runtime.advance(2 * START_MILLIS);
        simulation.submit(SUBMISSION, CellSimulation.shortStep(4));
        simulation.runtime.advance(START_MILLIS);
        assertThat(simulation.startCount(WORKER), equalTo(0));
        assertThat(simulation.invariants.violations(), empty());
        simulation.register(WORKER, false);
        simulation.runtime.advance(START_MILLIS);
        assertThat(simulation.startCount(WORKER), equalTo(4));
        assertThat(simulation.invariants.violations(), empty());
    }

    /** Creates a cell with one worker, of a special kind. */
    private static CellSimulation createSimulation() {
        CellSimulation simulation = new CellSimulation(1);
        simulation.labels.put(WORKER, List.of(KIND));
        simulation.register(WORKER, false);
        return simulation;
    }

    private static StepSpec stepFor(String label) {
        return StepSpec.builder(1, new Resources(2_000, 1_000, 0))
                .estimateMillis(400)
                .requiredLabel(label)
                .build();
    }
}
