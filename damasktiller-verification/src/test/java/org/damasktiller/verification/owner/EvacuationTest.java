package org.damasktiller.verification.owner;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThan;

import org.damasktiller.scheduler.model.SubmissionState;
import org.damasktiller.standin.metadata.CallFault;
import org.damasktiller.standin.metadata.FaultPlan;
import org.damasktiller.verification.owner.CellSimulation.OwnerProcess;
import org.junit.jupiter.api.Test;

/** Tests zones that are evacuated and taken back while work waits and one part fails. */
final class EvacuationTest {

    /** How soon an evacuation must be in effect, in milliseconds. */
    private static final long BOUND = 5_000;

    /** The number of workers in each of the two zones. */
    private static final int WORKERS_PER_ZONE = 4;

    /** The zone that is evacuated; its workers have the numbers from 0 on. */
    private static final String EVACUATED = "east";

    /** The number of submissions sent. */
    private int submissionCount;

    /** More tasks arrive than the zone that remains can hold at once. */
    @Test
    void burstDuringAnEvacuationRunsInTheOtherZone() {
        CellSimulation simulation = createSimulation();
        simulation.startOwner();
        press(simulation, 20);
        simulation.evacuate(EVACUATED);
        simulation.runtime.advance(500);
        int before = startsInEvacuatedZone(simulation);
        press(simulation, 40);
        simulation.runtime.advance(20_000);
        assertThat(startsInEvacuatedZone(simulation), equalTo(before));
        assertAllSucceeded(simulation);
    }

    /** A zone that returns gets starts at once. */
    @Test
    void zoneThatIsTakenBackGetsStarts() {
        CellSimulation simulation = createSimulation();
        simulation.evacuate(EVACUATED);
        simulation.startOwner();
        press(simulation, 10);
        assertThat(startsInEvacuatedZone(simulation), equalTo(0));
        simulation.takeBack(EVACUATED);
        simulation.runtime.advance(200);
        press(simulation, 10);
        assertThat(startsInEvacuatedZone(simulation), greaterThan(0));
    }

    /** Long-running tasks stay where they run, and restart elsewhere if their worker is lost. */
    @Test
    void longRunningTasksOfAnEvacuatedZoneRestartElsewhere() {
        CellSimulation simulation = createSimulation();
        simulation.startOwner();
        simulation.runtime.advance(500);
        simulation.submit(nextId(), CellSimulation.longRunningStep(2 * WORKERS_PER_ZONE * 3));
        simulation.runtime.advance(3_000);
        int before = startsInEvacuatedZone(simulation);
        assertThat(before, greaterThan(0));
        simulation.evacuate(EVACUATED);
        simulation.runtime.advance(500);
        int running = simulation.workers.get("w1").activeRunCount();
        simulation.crashWorker("w0");
        simulation.runtime.advance(15_000);
        assertThat(simulation.workers.get("w1").activeRunCount(), equalTo(running));
        assertThat(startsInEvacuatedZone(simulation), equalTo(before));
        assertThat(simulation.invariants.violations(), empty());
    }

    /** A successor has read none of the requests that its predecessor knew. */
    @Test
    void ownersThatFollowEachOtherStartNothingInAnEvacuatedZone() {
        CellSimulation simulation = createSimulation();
        OwnerProcess owner = simulation.startOwner();
        press(simulation, 10);
        simulation.evacuate(EVACUATED);
        simulation.runtime.advance(500);
        int before = startsInEvacuatedZone(simulation);
        for (int takeover = 0; takeover < 4; takeover++) {
            owner.kill();
            owner = simulation.startOwner();
            press(simulation, 20);
        }
        simulation.runtime.advance(30_000);
        assertThat(startsInEvacuatedZone(simulation), equalTo(before));
        assertAllSucceeded(simulation);
    }

    /** The owner's clock stands still while the zone is evacuated; it wakes with its old view. */
    @Test
    void ownerThatWasPausedLearnsOfTheEvacuationWithinTheBound() {
        CellSimulation simulation = createSimulation();
        OwnerProcess owner = simulation.startOwner();
        press(simulation, 10);
        owner.clock.freeze();
        simulation.evacuate(EVACUATED);
        press(simulation, 10);
        owner.clock.unfreeze();
        simulation.runtime.advance(BOUND);
        int before = startsInEvacuatedZone(simulation);
        press(simulation, 20);
        simulation.runtime.advance(20_000);
        assertThat(startsInEvacuatedZone(simulation), equalTo(before));
        assertAllSucceeded(simulation);
    }

    /** The watch of the requests is answered no more, and nothing else fails. */
    @Test
    void ownerThatCannotHearOfEvacuationsStartsNothingAfterTheBound() {
        CellSimulation simulation = createSimulation();
        boolean[] silent = new boolean[1];
        FaultPlan storeFaults =
                call ->
                        silent[0] && call.endsWith(" " + TestRecordCodec.EVACUATION_KEY_PREFIX)
                                ? CallFault.LOST
                                : CallFault.ANSWERED;
        simulation.startOwner(storeFaults, FaultPlan.NO_FAULTS);
        press(simulation, 10);
        silent[0] = true;
        simulation.evacuate(EVACUATED);
        simulation.runtime.advance(BOUND + 1_500);
        int before = startsInEvacuatedZone(simulation);
        int elsewhere = startsInOtherZone(simulation);
        press(simulation, 30);
        assertThat(startsInEvacuatedZone(simulation), equalTo(before));
        assertThat(startsInOtherZone(simulation), equalTo(elsewhere));
        silent[0] = false;
        simulation.runtime.advance(30_000);
        assertThat(startsInEvacuatedZone(simulation), equalTo(before));
        assertAllSucceeded(simulation);
    }

    /** The workers of a zone return cold; warm workers are preferred while they have room. */
    @Test
    void coldWorkersFillAfterWarmOnes() {
        CellSimulation simulation = createSimulation();
        for (int number = 0; number < WORKERS_PER_ZONE; number++) {
            simulation.coldMillis.put("w" + number, 60_000L);
            simulation.register("w" + number, false);
        }
        simulation.startOwner();
        simulation.runtime.advance(500);
        simulation.submit(nextId(), CellSimulation.shortStep(WORKERS_PER_ZONE * 3));
        simulation.runtime.advance(1_000);
        assertThat(startsInEvacuatedZone(simulation), equalTo(0));
        simulation.submit(nextId(), CellSimulation.shortStep(WORKERS_PER_ZONE * 8));
        simulation.runtime.advance(200);
        assertThat(startsInEvacuatedZone(simulation), greaterThan(0));
        assertThat(startsInEvacuatedZone(simulation), lessThan(startsInOtherZone(simulation)));
    }

    /**
     * Creates a cell of two zones that can be evacuated.
     *
     * @return the cell
     */
    private CellSimulation createSimulation() {
        CellSimulation simulation = new CellSimulation(2 * WORKERS_PER_ZONE);
        simulation.evacuationBoundMillis = BOUND;
        for (int number = 0; number < 2 * WORKERS_PER_ZONE; number++) {
            simulation.setZone("w" + number, number < WORKERS_PER_ZONE ? EVACUATED : "west");
        }
        return simulation;
    }

    /**
     * Sends a submission of six short tasks each 100 ms.
     *
     * @param simulation the cell
     * @param count the number of submissions
     */
    private void press(CellSimulation simulation, int count) {
        for (int sent = 0; sent < count; sent++) {
            simulation.submit(nextId(), CellSimulation.shortStep(6));
            simulation.runtime.advance(100);
        }
    }

    /**
     * Counts the starts that owners have sent to the zone that is evacuated.
     *
     * @param simulation the cell
     * @return the number of starts
     */
    private static int startsInEvacuatedZone(CellSimulation simulation) {
        return starts(simulation, 0, WORKERS_PER_ZONE);
    }

    /**
     * Counts the starts that owners have sent to the other zone.
     *
     * @param simulation the cell
     * @return the number of starts
     */
    private static int startsInOtherZone(CellSimulation simulation) {
        return starts(simulation, WORKERS_PER_ZONE, 2 * WORKERS_PER_ZONE);
    }

    /**
     * Counts the starts that owners have sent to some workers.
     *
     * @param simulation the cell
     * @param from the number of the first worker
     * @param to the number after that of the last worker
     * @return the number of starts
     */
    private static int starts(CellSimulation simulation, int from, int to) {
        int count = 0;
        for (int number = from; number < to; number++) {
            count += simulation.startCount("w" + number);
        }
        return count;
    }

    /**
     * Asserts that all submissions have succeeded and no rule was violated.
     *
     * @param simulation the cell
     */
    private void assertAllSucceeded(CellSimulation simulation) {
        assertThat(simulation.invariants.violations(), empty());
        for (int number = 0; number < submissionCount; number++) {
            assertThat(simulation.submissionState(id(number)), equalTo(SubmissionState.SUCCEEDED));
        }
    }

    /**
     * Returns the identifier of the next submission.
     *
     * @return the identifier
     */
    private String nextId() {
        return id(submissionCount++);
    }

    /**
     * Returns the identifier of a submission.
     *
     * @param number the number of the submission, from 0
     * @return the identifier
     */
    private static String id(int number) {
        return String.format("%016x", 0x3000 + number);
    }
}
