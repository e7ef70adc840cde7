package org.damasktiller.verification.owner;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.not;

import java.util.List;
import org.damasktiller.scheduler.model.Resources;
import org.damasktiller.scheduler.model.StepSpec;
import org.damasktiller.scheduler.model.SubmissionState;
import org.damasktiller.scheduler.model.TaskId;
import org.damasktiller.scheduler.policy.Policy;
import org.damasktiller.scheduler.policy.PolicySet;
import org.damasktiller.verification.owner.CellSimulation.OwnerProcess;
import org.junit.jupiter.api.Test;

/** Replays loads in which small tasks take each gap as soon as it opens. */
final class LookAheadTest {

    /** The number of workers. */
    private static final int WORKERS = 4;

    /** The CPU of each worker, in millicores. */
    private static final long WORKER_CPU = 8_000;

    /** The identifier of the submission with a large task. */
    private static final String LARGE = "00000000000000c1";

    /** The label of one of the workers. */
    private static final String LABEL = "special";

    /**
     * The longest time that a submission may wait while half of the cell is free, in milliseconds;
     * given by the platform's documentation.
     */
    private static final long MAX_WAIT_MILLIS = 3_000;

    /** The number of small submissions sent. */
    private int submissionCount;

    /** Without look-ahead the large task waits as long as small ones keep coming. */
    @Test
    void largeTaskWaitsForAsLongAsSmallOnesComeWithoutLookAhead() {
        CellSimulation simulation = createSimulation(false);
        simulation.startOwner();
        press(simulation, 30);
        simulation.submit(LARGE, step(1, WORKER_CPU));
        press(simulation, 100);
        assertThat(simulation.submissionState(LARGE), not(equalTo(SubmissionState.SUCCEEDED)));
    }

    /** The large task gets a whole worker while small ones keep all workers busy. */
    @Test
    void largeTaskGetsRoomWhileSmallOnesKeepComing() {
        CellSimulation simulation = createSimulation(true);
        simulation.startOwner();
        press(simulation, 30);
        simulation.submit(LARGE, step(1, WORKER_CPU));
        press(simulation, 40);
        assertThat(simulation.submissionState(LARGE), equalTo(SubmissionState.SUCCEEDED));
        assertThat(simulation.invariants.violations(), empty());
    }

    /** The owner that keeps the room is killed; its successor knows nothing of the reservation. */
    @Test
    void successorOfAnOwnerThatKeptRoomKeepsItAnew() {
        CellSimulation simulation = createSimulation(true);
        OwnerProcess owner = simulation.startOwner();
        press(simulation, 30);
        simulation.submit(LARGE, step(1, WORKER_CPU));
        press(simulation, 4);
        owner.kill();
        simulation.startOwner();
        press(simulation, 80);
        assertThat(simulation.submissionState(LARGE), equalTo(SubmissionState.SUCCEEDED));
        assertThat(simulation.invariants.violations(), empty());
    }

    /** Room was kept for as long as a run lasted that did not end when it was expected to. */
    @Test
    void smallTaskStartsWhereRoomIsKeptInACellThatIsNearlyIdle() {
        CellSimulation simulation = createSimulation(true);
        simulation.labels.put("w0", List.of(LABEL));
        simulation.register("w0", false);
        simulation.taskDurationMillis = 20_000;
        simulation.startOwner();
        simulation.submit("00000000000000c2", labelledStep(2_000));
        simulation.runtime.advance(1_000);
        simulation.submit(LARGE, labelledStep(WORKER_CPU));
        simulation.runtime.advance(1_000);
        String small = "00000000000000c3";
        simulation.submit(small, labelledStep(1_000));
        simulation.runtime.advance(MAX_WAIT_MILLIS);
        assertThat(simulation.invariants.startCount(new TaskId(small, 0, 0, 0)), equalTo(1));
        assertThat(simulation.invariants.violations(), empty());
    }

    /** The worker that keeps the room is lost before the large task starts there. */
    @Test
    void lossOfTheWorkerThatKeepsTheRoomMovesTheReservation() {
        CellSimulation simulation = createSimulation(true);
        simulation.startOwner();
        press(simulation, 30);
        simulation.submit(LARGE, step(1, WORKER_CPU));
        press(simulation, 4);
        String reserved =
                simulation.logLines.stream()
                        .filter(line -> line.contains(" room.reserved "))
                        .map(line -> line.replaceAll(".*worker, (w[0-9]+).*", "$1"))
                        .findFirst()
                        .orElseThrow();
        simulation.crashWorker(reserved);
        press(simulation, 60);
        assertThat(simulation.submissionState(LARGE), equalTo(SubmissionState.SUCCEEDED));
        assertThat(simulation.invariants.violations(), empty());
    }

    /**
     * Creates a cell.
     *
     * @param lookAhead whether room is kept for large tasks
     * @return the cell
     */
    private static CellSimulation createSimulation(boolean lookAhead) {
        CellSimulation simulation = new CellSimulation(WORKERS);
        if (!lookAhead) {
            simulation.policies = PolicySet.without(List.of(Policy.LOOK_AHEAD));
        }
        return simulation;
    }

    /**
     * Sends small tasks one by one, about as many as the cell can run; their ends are spread over
     * time and over the workers.
     *
     * @param simulation the cell
     * @param hundredMillis for how long, in units of 100 ms
     */
    private void press(CellSimulation simulation, int hundredMillis) {
        for (int sent = 0; sent < 4 * hundredMillis; sent++) {
            simulation.submit(String.format("%016x", 0x4000 + submissionCount), step(1, 2_000));
            submissionCount++;
            simulation.runtime.advance(25);
        }
    }

    /**
     * Creates a step.
     *
     * @param count the number of tasks
     * @param cpuMillicores the CPU of each, in millicores
     * @return the step
     */
    private static StepSpec step(int count, long cpuMillicores) {
        return StepSpec.builder(count, new Resources(cpuMillicores, 100, 0))
                .estimateMillis(400)
                .after(List.of())
                .build();
    }

    /**
     * Creates a step of one task that needs the label.
     *
     * @param cpuMillicores the CPU that the task needs, in millicores
     * @return the step
     */
    private static StepSpec labelledStep(long cpuMillicores) {
        return StepSpec.builder(1, new Resources(cpuMillicores, 100, 0))
                .estimateMillis(400)
                .requiredLabel(LABEL)
                .build();
    }
}
