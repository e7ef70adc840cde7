package org.damasktiller.verification.owner;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import org.damasktiller.scheduler.model.Resources;
import org.damasktiller.scheduler.model.StepSpec;
import org.junit.jupiter.api.Test;

/**
 * Replays a load in which each worker gets starts all the time, and a worker crashes a moment after
 * a long-running task has started there. No worker is without recent starts, which a suspect task
 * needs.
 */
final class SuspectUnderLoadTest {

    /** The number of workers. */
    private static final int WORKERS = 4;

    /** The identifier of the long-running submission. */
    private static final String LONG_RUNNING = "00000000000000f1";

    /**
     * The longest time from when the crash is counted until the task starts again, in milliseconds:
     * the longest interruption that the platform allows in calm times.
     */
    private static final long MAX_WAIT_MILLIS = 9_000;

    /** How long the load lasts after the crash, in milliseconds. */
    private static final long LOAD_MILLIS = 40_000;

    /** The cell. */
    private final CellSimulation simulation = new CellSimulation(WORKERS);

    /** The number of short submissions sent. */
    private int submissionCount;

    @Test
    void suspectStartsAlthoughEachWorkerGetsStartsAllTheTime() {
        simulation.startOwner();
        press(2_000);
        simulation.submit(
                LONG_RUNNING,
                StepSpec.builder(1, new Resources(2_000, 1_000, 0)).lasting(true).build());
        press(300);
        simulation.crashWorker(workerOfFirstStart());
        press(LOAD_MILLIS);
        long crashedAtMillis = timeOf(" task.crash ", 0);
        long restartedAtMillis = timeOf(" run.start ", crashedAtMillis);
        assertThat(restartedAtMillis - crashedAtMillis, lessThanOrEqualTo(MAX_WAIT_MILLIS));
        assertThat(simulation.invariants.violations(), empty());
    }

    /**
     * Sends steps that start a short task on each worker.
     *
     * @param millis for how long, in milliseconds
     */
    private void press(long millis) {
        for (long elapsed = 0; elapsed < millis; elapsed += 100) {
            simulation.submit(
                    String.format("%016x", 0x6000 + submissionCount),
                    StepSpec.builder(WORKERS, new Resources(500, 100, 0))
                            .estimateMillis(400)
                            .maximumPerWorker(1)
                            .build());
            submissionCount++;
            simulation.runtime.advance(100);
        }
    }

    /**
     * Returns the worker on which the long-running task has started.
     *
     * @return the identifier of the worker
     */
    private String workerOfFirstStart() {
        return simulation.logLines.stream()
                .filter(line -> line.contains(" run.start ") && line.contains(LONG_RUNNING))
                .map(line -> line.replaceAll(".*worker, (w[0-9]+).*", "$1"))
                .findFirst()
                .orElseThrow();
    }

    /**
     * Returns when an event of the long-running task was first logged after some time.
     *
     * @param event the event, between spaces
     * @param afterMillis the time, in milliseconds
     * @return the time, in milliseconds; far in the future if it was not logged
     */
    private long timeOf(String event, long afterMillis) {
        return simulation.logLines.stream()
                .filter(line -> line.contains(event) && line.contains(LONG_RUNNING))
                .mapToLong(line -> Long.parseLong(line.substring(0, line.indexOf(' '))))
                .filter(millis -> millis > afterMillis)
                .findFirst()
                .orElse(Integer.MAX_VALUE);
    }
}
