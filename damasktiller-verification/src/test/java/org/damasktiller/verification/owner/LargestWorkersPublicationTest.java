package org.damasktiller.verification.owner;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.notNullValue;

import java.util.List;
import org.damasktiller.scheduler.cell.CellKeys;
import org.damasktiller.scheduler.cell.PendingRecord;
import org.damasktiller.scheduler.cell.StoredValueCodec;
import org.damasktiller.scheduler.model.Resources;
import org.damasktiller.scheduler.port.StoreTransaction;
import org.junit.jupiter.api.Test;

/** Tests which workers an owner publishes as the largest, by which submissions are rejected. */
final class LargestWorkersPublicationTest {

    /** The capacity of the workers of the cell. */
    private static final Resources USUAL = new Resources(8_000, 8_000, 0);

    /** The capacity of a larger worker. */
    private static final Resources LARGE = new Resources(900_000, 900_000, 8);

    private final CellSimulation simulation = new CellSimulation(2);

    /** Submissions that only this entry could hold were accepted and waited for ever. */
    @Test
    void entryBehindWhichNoWorkerAnswersDoesNotCount() {
        registerUnreachable("odd-1");
        simulation.startOwner();
        simulation.runtime.advance(30_000);
        assertThat(published(), contains(USUAL));
        registerUnreachable("odd-2");
        simulation.runtime.advance(2_000);
        assertThat(published(), contains(USUAL));
    }

    /** A submission for the large worker was else rejected until it answers the new owner. */
    @Test
    void largeWorkerThatAnswersLateCountsAfterATakeover() {
        registerUnreachable("large");
        simulation.startOwner();
        simulation.runtime.advance(3_000);
        assertThat(published(), contains(LARGE));
    }

    @Test
    void largeWorkerThatJoinsCountsOnceItAnswers() {
        simulation.startOwner();
        simulation.runtime.advance(30_000);
        simulation.resize("w1", 900_000);
        simulation.addWorker("w2");
        simulation.runtime.advance(2_000);
        assertThat(published(), contains(new Resources(900_000, 900_000, 0)));
    }

    /**
     * Writes the entry of a large worker that cannot be reached.
     *
     * @param id the identifier of the worker
     */
    private void registerUnreachable(String id) {
        simulation.unreachable.add(id);
        TestRecordCodec.Entry entry =
                new TestRecordCodec.Entry(
                        id, CellSimulation.CELL, 9_000, "zone", false, LARGE, null, 0, 0);
        simulation.store.commit(
                new StoreTransaction()
                        .put(
                                TestRecordCodec.WORKER_KEY_PREFIX + id,
                                TestRecordCodec.encode(entry)));
    }

    /**
     * Returns the largest workers that the owner has published.
     *
     * @return the capacities
     */
    private List<Resources> published() {
        byte[] value = simulation.store.value(CellKeys.pending(CellSimulation.CELL));
        assertThat(value, notNullValue());
        PendingRecord record = StoredValueCodec.decode(value, PendingRecord.class);
        assertThat(record, notNullValue());
        return record.largestWorkers();
    }
}
