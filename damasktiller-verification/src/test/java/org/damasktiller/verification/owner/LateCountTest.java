package org.damasktiller.verification.owner;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.notNullValue;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.damasktiller.scheduler.cell.CellKeys;
import org.damasktiller.scheduler.cell.PendingRecord;
import org.damasktiller.scheduler.cell.StoredValueCodec;
import org.damasktiller.scheduler.port.StoreTransaction;
import org.damasktiller.standin.metadata.CallFault;
import org.damasktiller.standin.metadata.FaultPlan;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests the published counts when writes of them have no response or are carried out late. */
final class LateCountTest {

    /** The first submission that waits. */
    private static final String FIRST = "00000000000000c1";

    /** Time in which a change of the counts is published without faults, in milliseconds. */
    private static final long PUBLISHED_MILLIS = 1_000;

    /** Time in which a change is published after one write without a response, in milliseconds. */
    private static final long PUBLISHED_LATE_MILLIS = 3_000;

    /** Time in which each late write has been carried out, in milliseconds. */
    private static final long LATEST_WRITE_MILLIS = 6_000;

    /** The cell, whose workers are full. */
    private final CellSimulation simulation = new CellSimulation(1);

    /** The faults of the next writes of the counts; later ones are answered. */
    private final Deque<CallFault> countFaults = new ArrayDeque<>();

    /** The number of writes of the counts. */
    private int countWrites;

    /** Starts the owner and fills the workers. */
    @BeforeEach
    void startOwner() {
        simulation.startOwner(
                new FaultPlan() {
                    @Override
                    public CallFault faultFor(String call) {
                        return CallFault.ANSWERED;
                    }

                    @Override
                    public CallFault faultForCommit(StoreTransaction transaction) {
                        String key = CellKeys.pending(CellSimulation.CELL);
                        if (!transaction.writes().containsKey(key)) {
                            return CallFault.ANSWERED;
                        }
                        countWrites++;
                        return countFaults.isEmpty() ? CallFault.ANSWERED : countFaults.remove();
                    }
                },
                FaultPlan.NO_FAULTS);
        simulation.submit("00000000000000c0", CellSimulation.longRunningStep(4));
        simulation.runtime.advance(15_000);
        assertThat(published(), equalTo(0));
    }

    // A late write put an older count back, which stayed until a count changed.
    @Test
    void lateWriteOfOlderCountIsNotCarriedOut() {
        countFaults.add(CallFault.LATE);
        simulation.submit(FIRST, CellSimulation.shortStep(1));
        simulation.runtime.advance(PUBLISHED_MILLIS);
        submitOthers(10);
        simulation.runtime.advance(PUBLISHED_LATE_MILLIS + LATEST_WRITE_MILLIS);
        assertThat(published(), equalTo(11));
    }

    // The count is as before when the response is missed, and the late write comes after that.
    @Test
    void lateWriteIsNotCarriedOutAfterTheCountIsAsBefore() {
        countFaults.add(CallFault.LATE);
        simulation.submit(FIRST, CellSimulation.shortStep(1));
        simulation.runtime.advance(PUBLISHED_MILLIS);
        simulation.cancel(FIRST);
        simulation.runtime.advance(PUBLISHED_LATE_MILLIS + LATEST_WRITE_MILLIS);
        assertThat(published(), equalTo(0));
    }

    @Test
    void severalWritesWithoutResponseAreResolved() {
        countFaults.addAll(
                List.of(
                        CallFault.LATE,
                        CallFault.ANSWER_LOST,
                        CallFault.LATE,
                        CallFault.LOST,
                        CallFault.REFUSED));
        simulation.submit(FIRST, CellSimulation.shortStep(1));
        simulation.runtime.advance(PUBLISHED_MILLIS);
        submitOthers(4);
        simulation.runtime.advance(5 * PUBLISHED_LATE_MILLIS + LATEST_WRITE_MILLIS);
        assertThat(published(), equalTo(5));
    }

    @Test
    void writeWhoseResponseWasLostIsNotRepeated() {
        countFaults.add(CallFault.ANSWER_LOST);
        countWrites = 0;
        simulation.submit(FIRST, CellSimulation.shortStep(1));
        simulation.runtime.advance(PUBLISHED_LATE_MILLIS + LATEST_WRITE_MILLIS);
        assertThat(published(), equalTo(1));
        assertThat(countWrites, equalTo(1));
    }

    @Test
    void eachChangeIsWrittenOnce() {
        countWrites = 0;
        for (int change = 1; change <= 5; change++) {
            submitOthers(change);
            simulation.runtime.advance(PUBLISHED_MILLIS);
            assertThat(published(), equalTo(change));
        }
        assertThat(countWrites, equalTo(5));
    }

    /**
     * Submits submissions for which there is no room, unless they are stored.
     *
     * @param count the number of submissions
     */
    private void submitOthers(int count) {
        for (int number = 0; number < count; number++) {
            simulation.submit(
                    String.format("00000000000000d%x", number), CellSimulation.shortStep(1));
        }
    }

    /**
     * Returns the published number of submissions that wait.
     *
     * @return the number
     */
    private int published() {
        byte[] value = simulation.store.value(CellKeys.pending(CellSimulation.CELL));
        assertThat(value, notNullValue());
        PendingRecord record = StoredValueCodec.decode(value, PendingRecord.class);
        return record.byRoute().getOrDefault(simulation.route().name(), 0);
    }
}
