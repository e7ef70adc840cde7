package org.damasktiller.verification.owner;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;

import org.damasktiller.scheduler.model.Resources;
import org.damasktiller.scheduler.port.StoreTransaction;
import org.junit.jupiter.api.Test;

/** Tests entries of live workers that another writer has replaced by valid ones with odd values. */
final class OverwrittenEntryTest {

    /** The identifier of the submission, of one long-running task. */
    private static final String SUBMISSION = "00000000000000a1";

    /** The number of workers. */
    private static final int WORKER_COUNT = 4;

    /** The time in which a second run would start, in milliseconds, shorter than a lease. */
    private static final long OBSERVED_MILLIS = 5_000;

    /** The capacity of a worker. */
    private static final long CAPACITY = 8_000;

    /** The cell. */
    private final CellSimulation simulation = new CellSimulation(WORKER_COUNT);

    // A boot time of an entry that the worker itself does not confirm ends no runs.
    @Test
    void runsGoOnWhenTheEntryOfTheirWorkerNamesLaterBootThanTheWorker() {
        simulation.startOwner();
        String worker = startTask();
        overwrite(
                worker,
                1 + Integer.parseInt(worker.substring(1)),
                simulation.workers.get(worker).bootUnixMillis() + 3_600_000);
        simulation.runtime.advance(OBSERVED_MILLIS);

        assertThat(simulation.invariants.violations(), empty());
    }

    /**
     * Starts the task.
     *
     * @return the identifier of its worker
     */
    private String startTask() {
        simulation.runtime.advance(1_000);
        simulation.submit(SUBMISSION, CellSimulation.longRunningStep(1));
        simulation.runtime.advance(3_000);
        return simulation.workersUsed().iterator().next();
    }

    /**
     * Replaces the entry of a worker.
     *
     * @param id the identifier of the worker
     * @param port the port that the entry names
     * @param bootUnixMillis the boot time that the entry names, in milliseconds since 1970
     */
    private void overwrite(String id, int port, long bootUnixMillis) {
        TestRecordCodec.Entry entry =
                new TestRecordCodec.Entry(
                        id,
                        CellSimulation.CELL,
                        port,
                        "zone",
                        false,
                        new Resources(CAPACITY, CAPACITY, 0),
                        null,
                        bootUnixMillis,
                        0);
        simulation.store.commit(
                new StoreTransaction()
                        .put(
                                TestRecordCodec.WORKER_KEY_PREFIX + id,
                                TestRecordCodec.encode(entry)));
    }
}
