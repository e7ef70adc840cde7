package org.damasktiller.verification.owner;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.not;

import org.damasktiller.scheduler.cell.CellKeys;
import org.damasktiller.scheduler.cell.PendingRecord;
import org.damasktiller.scheduler.cell.StoredValueCodec;
import org.damasktiller.scheduler.model.SubmissionState;
import org.damasktiller.verification.owner.CellSimulation.OwnerProcess;
import org.junit.jupiter.api.Test;

/** Tests that an owner tells the entry VMs when it has no memory for further submissions. */
final class FullCellTest {

    /** The number of submissions, of which each takes some kilobytes. */
    private static final int SUBMISSIONS = 8;

    /** A bound below what the submissions take, in bytes. */
    private static final long SMALL_BOUND_BYTES = 10_000;

    /** The cell. */
    private final CellSimulation simulation = new CellSimulation(10);

    @Test
    void cellIsFullUntilWorkHasEndedAndLosesNothing() {
        simulation.openWorkBytes = SMALL_BOUND_BYTES;
        OwnerProcess first = simulation.startOwner();
        simulation.runtime.advance(2_000);
        assertThat(isFull(), equalTo(false));
        submitAll();
        simulation.runtime.advance(2_000);
        assertThat(isFull(), equalTo(true));
        assertThat(simulation.logLines, hasItem(containsString(" cell.full ")));
        first.kill();
        simulation.startOwner();
        simulation.runtime.advance(2_000);
        assertThat(isFull(), equalTo(true));
        simulation.runtime.advance(60_000);
        for (int number = 0; number < SUBMISSIONS; number++) {
            assertThat(simulation.submissionState(id(number)), equalTo(SubmissionState.SUCCEEDED));
        }
        assertThat(isFull(), equalTo(false));
        assertThat(simulation.logLines, hasItem(containsString(" cell.has-room ")));
        assertThat(simulation.invariants.violations(), empty());
    }

    @Test
    void cellOfDefaultMemoryHasRoomForALargeLoad() {
        simulation.openWorkBytes = (128 << 20) / 2;
        simulation.startOwner();
        for (int number = 0; number < SUBMISSIONS; number++) {
            simulation.submit(id(number), CellSimulation.longRunningStep(10_000));
        }
        simulation.runtime.advance(5_000);
        assertThat(isFull(), equalTo(false));
        assertThat(simulation.logLines, not(hasItem(containsString(" cell.full "))));
    }

    /** Hands in the submissions. */
    private void submitAll() {
        for (int number = 0; number < SUBMISSIONS; number++) {
            simulation.submit(id(number), CellSimulation.shortStep(100));
        }
    }

    /**
     * Returns the identifier of a submission.
     *
     * @param number its number, below 10
     * @return the identifier
     */
    private static String id(int number) {
        return "00000000000000c" + number;
    }

    /**
     * Returns whether the cell is published as full.
     *
     * @return whether entry VMs accept nothing for it
     */
    private boolean isFull() {
        byte[] value = simulation.store.value(CellKeys.pending(CellSimulation.CELL));
        PendingRecord record =
                value == null ? null : StoredValueCodec.decode(value, PendingRecord.class);
        return record != null && record.isFull();
    }
}
