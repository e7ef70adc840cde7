package org.damasktiller.verification.owner;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;

import java.util.List;
import org.damasktiller.scheduler.model.Resources;
import org.damasktiller.scheduler.model.StepSpec;
import org.damasktiller.standin.fleet.SimulatedWorker;
import org.junit.jupiter.api.Test;

/** Tests sound work on workers that crash in waves, all of them at a time. */
final class CrashWaveTest {

    /** The number of workers. */
    private static final int WORKERS = 16;

    /** The number of tasks, which together need half of the workers' CPU. */
    private static final int TASKS = 32;

    /** The number of tasks that need 5 of 8 processors, less than half of the workers' CPU. */
    private static final int LARGE_TASKS = 12;

    /** The number of waves. */
    private static final int WAVES = 3;

    /**
     * How long after a wave tasks may be without a run, in milliseconds: the workers are back after
     * 3 s, and the platform's documentation allows 3 s after 4 s without a disruption.
     */
    private static final long MAX_WAIT_MILLIS = 10_000;

    /** How long short tasks run, in milliseconds: longer than the waves are apart. */
    private static final long DURATION_MILLIS = 20_000;

    /** The cell. */
    private final CellSimulation simulation = new CellSimulation(WORKERS);

    /** Each wave made all tasks suspect, and suspects started four at a time for 5 s each. */
    @Test
    void longRunningTasksRunSoonAfterWavesOfCrashes() {
        simulation.startOwner();
        simulation.submit("00000000000000b1", CellSimulation.longRunningStep(TASKS));
        playWaves(5_000);
        assertThat(activeRuns(), equalTo(TASKS));
    }

    /** Suspects that are not long-running kept others waiting until they ended. */
    @Test
    void shortTasksRunSoonAfterWavesOfCrashes() {
        simulation.taskDurationMillis = DURATION_MILLIS;
        simulation.startOwner();
        simulation.submit("00000000000000b2", CellSimulation.shortStep(TASKS));
        playWaves(5_000);
        assertThat(activeRuns(), equalTo(TASKS));
    }

    /** The waves come so fast that the tasks have just started again. */
    @Test
    void tasksRunSoonAfterWavesThatMeetTheirStarts() {
        simulation.startOwner();
        simulation.submit("00000000000000b3", CellSimulation.longRunningStep(TASKS));
        playWaves(3_600);
        assertThat(activeRuns(), equalTo(TASKS));
    }

    /** Half of the workers were taken by tasks of which only one fits on each. */
    @Test
    void tasksThatNeedMostOfAWorkerRunSoonAfterWavesOfCrashes() {
        simulation.taskDurationMillis = DURATION_MILLIS;
        simulation.startOwner();
        simulation.submit(
                "00000000000000b4",
                StepSpec.builder(LARGE_TASKS, new Resources(5_000, 1_000, 0))
                        .estimateMillis(400)
                        .build());
        playWaves(5_000);
        assertThat(activeRuns(), equalTo(LARGE_TASKS));
    }

    /**
     * Crashes all workers several times, and waits until the tasks have to run again.
     *
     * @param gapMillis the time between two waves, in milliseconds
     */
    private void playWaves(long gapMillis) {
        for (int wave = 0; wave < WAVES; wave++) {
            simulation.runtime.advance(gapMillis);
            List<String> alive =
                    simulation.workers.values().stream()
                            .filter(SimulatedWorker::isAlive)
                            .map(SimulatedWorker::id)
                            .toList();
            alive.forEach(simulation::crashWorker);
        }
        simulation.runtime.advance(MAX_WAIT_MILLIS);
        assertThat(simulation.invariants.violations(), empty());
    }

    /**
     * Counts the runs on all workers.
     *
     * @return their number
     */
    private int activeRuns() {
        return simulation.workers.values().stream()
                .filter(SimulatedWorker::isAlive)
                .mapToInt(SimulatedWorker::activeRunCount)
                .sum();
    }
}
