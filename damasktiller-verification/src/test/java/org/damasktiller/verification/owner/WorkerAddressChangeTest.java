package org.damasktiller.verification.owner;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;

import org.damasktiller.scheduler.model.Resources;
import org.damasktiller.scheduler.model.TaskId;
import org.damasktiller.scheduler.port.StoreTransaction;
import org.junit.jupiter.api.Test;

/** Tests a worker that registers at another address while another one takes its former address. */
final class WorkerAddressChangeTest {

    /** The identifier of the submission, of one task. */
    private static final String SUBMISSION = "00000000000000a1";

    /** The capacity of a worker. */
    private static final long CAPACITY = 8_000;

    // A successor must not take the worker for replaced at the address that the roster still names.
    @Test
    void runsAtTheNewAddressAreAwaitedWhileTheRosterNamesTheFormerOne() {
        CellSimulation simulation = new CellSimulation(1);
        simulation.taskDurationMillis = 60_000;
        CellSimulation.OwnerProcess owner = simulation.startOwner();
        simulation.runtime.advance(3_000);
        TestRecordCodec.Entry entry =
                new TestRecordCodec.Entry(
                        "w0",
                        CellSimulation.CELL,
                        1 + simulation.workers.size(),
                        "zone",
                        false,
                        new Resources(CAPACITY, CAPACITY, 0),
                        null,
                        simulation.workers.get("w0").bootUnixMillis(),
                        0);
        simulation.store.commit(
                new StoreTransaction()
                        .put(
                                TestRecordCodec.WORKER_KEY_PREFIX + "w0",
                                TestRecordCodec.encode(entry)));
        simulation.runtime.advance(200);
        simulation.submit(SUBMISSION, CellSimulation.shortStep(1));
        while (simulation.invariants.activeRunCount(new TaskId(SUBMISSION, 0, 0, 0)) == 0) {
            simulation.runtime.advance(1);
        }
        owner.kill();
        simulation.unreachable.add("w0");
        simulation.addSuccessor("w0");
        simulation.startOwner();
        simulation.runtime.advance(4_000);

        assertThat(simulation.invariants.violations(), empty());
    }
}
