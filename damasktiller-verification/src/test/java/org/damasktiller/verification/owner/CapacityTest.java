package org.damasktiller.verification.owner;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;

import java.util.Set;
import java.util.SplittableRandom;
import org.damasktiller.scheduler.model.SubmissionState;
import org.damasktiller.standin.fleet.SimulatedWorker;
import org.damasktiller.standin.metadata.CallFault;
import org.damasktiller.standin.metadata.FaultPlan;
import org.damasktiller.verification.owner.CellSimulation.OwnerProcess;
import org.junit.jupiter.api.Test;

/** Tests workers that do not guard their capacity, and whose capacity changes while they run. */
final class CapacityTest {

    /** The number of random cases. */
    private static final int CASE_COUNT = 20;

    /** The capacity of a worker that has not shrunk. */
    private static final long FULL_CAPACITY = 8_000;

    /** The number of submissions sent. */
    private int submissionCount;

    /** Capacities shrink below what runs and grow, while work comes and owners change. */
    @Test
    void startsFitTheCapacityThatWorkersReport() {
        for (int seed = 0; seed < CASE_COUNT; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            CellSimulation simulation = createSimulation(4);
            OwnerProcess owner = simulation.startOwner();
            for (int step = 0; step < 150; step++) {
                submit(simulation, 1 + random.nextInt(6));
                if (random.nextInt(4) == 0) {
                    simulation.resize("w" + random.nextInt(4), 2_000L * random.nextInt(5));
                }
                if (random.nextInt(40) == 0) {
                    owner.kill();
                    owner = simulation.startOwner();
                }
                simulation.runtime.advance(100);
            }
            simulation.workers.keySet().forEach(id -> simulation.resize(id, FULL_CAPACITY));
            simulation.runtime.advance(60_000);
            assertThat("seed " + seed, simulation.invariants.violations(), empty());
            assertThat(simulation.submissionState(id(0)), equalTo(SubmissionState.SUCCEEDED));
        }
    }

    /** The runs of a submission that was cancelled before the takeover still count. */
    @Test
    void runsThatTheOwnerDoesNotKnowCountUntilTheyHaveStopped() {
        CellSimulation simulation = createSimulation(1);
        simulation.taskDurationMillis = 60_000;
        OwnerProcess former = simulation.startOwner();
        submit(simulation, 4);
        simulation.runtime.advance(2_000);
        former.kill();
        simulation.cancel(id(0));
        simulation.startOwner();
        submit(simulation, 4);
        simulation.runtime.advance(20_000);
        assertThat(simulation.invariants.violations(), empty());
        assertThat(simulation.workers.get("w0").activeRunCount(), equalTo(4));
    }

    /** The worker answers only under its own identifier, which each request names. */
    @Test
    void secondEntryWithTheAddressOfAWorkerAddsNoCapacity() {
        CellSimulation simulation = createSimulation(1);
        simulation.register("a0", "w0", false);
        simulation.register("x0", "w0", false);
        simulation.startOwner();
        simulation.taskDurationMillis = 60_000;
        submit(simulation, 8);
        simulation.runtime.advance(20_000);
        assertThat(simulation.invariants.violations(), empty());
        assertThat(simulation.workers.get("w0").activeRunCount(), equalTo(4));
        assertThat(simulation.startCount("a0") + simulation.startCount("x0"), equalTo(0));
    }

    /** The owner does not hear from the store that capacities have shrunk. */
    @Test
    void noStartsRestOnAnEntryThatIsOlderThanTheAllowedTimeWithoutContact() {
        CellSimulation simulation = createSimulation(4);
        boolean[] silent = new boolean[1];
        FaultPlan storeFaults =
                call ->
                        silent[0] && call.equals("watch " + TestRecordCodec.WORKER_KEY_PREFIX)
                                ? CallFault.LOST
                                : CallFault.ANSWERED;
        simulation.startOwner(storeFaults, FaultPlan.NO_FAULTS);
        simulation.runtime.advance(3_000);
        silent[0] = true;
        simulation.runtime.advance(2_500);
        simulation.workers.keySet().forEach(id -> simulation.resize(id, 2_000));
        for (int step = 0; step < 100; step++) {
            submit(simulation, 4);
            simulation.runtime.advance(100);
        }
        silent[0] = false;
        simulation.runtime.advance(60_000);
        assertThat(simulation.invariants.violations(), empty());
        assertThat(
                simulation.submissionState(id(submissionCount - 1)),
                equalTo(SubmissionState.SUCCEEDED));
    }

    /**
     * Creates a cell whose workers start whatever they are told to.
     *
     * @param workers the number of workers
     * @return the cell
     */
    private CellSimulation createSimulation(int workers) {
        CellSimulation simulation = new CellSimulation(workers);
        simulation.unguardedServices = Set.of(CellSimulation.CELL);
        simulation.workers.values().forEach(SimulatedWorker::ignoreCapacity);
        submissionCount = 0;
        return simulation;
    }

    /**
     * Submits short tasks.
     *
     * @param simulation the cell
     * @param count the number of tasks
     */
    private void submit(CellSimulation simulation, int count) {
        simulation.submit(id(submissionCount), CellSimulation.shortStep(count));
        submissionCount++;
    }

    /**
     * Returns the identifier of a submission.
     *
     * @param number the number of the submission, from 0
     * @return the identifier
     */
    private static String id(int number) {
        return String.format("%016x", 0x2000 + number);
    }
}
