package org.damasktiller.scheduler.cell;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.damasktiller.scheduler.model.Resources;
import org.damasktiller.scheduler.model.StepSpec;
import org.damasktiller.scheduler.placement.DividedStep;
import org.damasktiller.scheduler.placement.WorkerRoom;
import org.junit.jupiter.api.Test;

/** Tests how much of the published room tasks of a step with a limit per worker take. */
final class PendingRecordTest {

    /** A step that allows one task a worker. */
    private static final StepSpec STEP =
            StepSpec.builder(6, new Resources(6_000, 6_000, 0))
                    .lasting(true)
                    .maximumPerWorker(1)
                    .build();

    // Tasks that fill their workers leave no room that could count for them again.
    @Test
    void taskTakesSlotOnlyWhereItsWorkerHasRoomForAnother() {
        assertThat(room(2_000).slotsTaken(STEP, 1), equalTo(0));
        assertThat(room(7_000).slotsTaken(STEP, 1), equalTo(1));
    }

    @Test
    void tasksThatHaveComeSincePublicationTakeOneSlotEach() {
        PendingRecord record = record(List.of(new DividedStep("step", 3, 1)));

        assertThat(record.slotsTaken("step", 3), equalTo(1));
        assertThat(record.slotsTaken("step", 5), equalTo(3));
        assertThat(record.slotsTaken("step", 2), equalTo(1));
    }

    // The record of an older release says nothing about the step.
    @Test
    void unknownShareCountsOneSlotForEachTask() {
        String older = "{\"byRoute\":{},\"largestWorkers\":[],\"generation\":1,\"rooms\":[]}";
        PendingRecord record =
                Objects.requireNonNull(
                        StoredValueCodec.decode(
                                older.getBytes(StandardCharsets.UTF_8), PendingRecord.class));

        assertThat(record.slotsTaken("step", 3), equalTo(3));
        assertThat(record.isFull(), equalTo(false));
    }

    // A method that was named like a property was stored with the components.
    @Test
    void storedRecordHasNoOtherPropertiesThanThoseOfEarlierReleasesAndItsComponents() {
        String stored =
                new String(StoredValueCodec.encode(record(List.of())), StandardCharsets.UTF_8);

        assertThat(
                stored,
                equalTo(
                        "{\"byRoute\":{},\"largestWorkers\":[],\"generation\":1,\"rooms\":[],"
                                + "\"dividedSteps\":[],\"idleRooms\":null,\"memoryPercent\":0,"
                                + "\"ordinaryPercent\":0,\"full\":false}"));
    }

    @Test
    void recordWithSharesIsReadAgain() {
        PendingRecord record = record(List.of(new DividedStep("step", 3, 1)));

        assertThat(
                StoredValueCodec.decode(StoredValueCodec.encode(record), PendingRecord.class),
                equalTo(record));
    }

    /**
     * Creates the room of one worker.
     *
     * @param free its free processors, in millicores; also its free memory, in megabytes
     * @return the room
     */
    private static WorkerRoom room(long free) {
        return new WorkerRoom(new Resources(free, free, 0), List.of(), 1);
    }

    /**
     * Creates a record of a cell without other contents.
     *
     * @param dividedSteps what tasks of steps that several cells share take
     * @return the record
     */
    private static PendingRecord record(List<DividedStep> dividedSteps) {
        return new PendingRecord(Map.of(), List.of(), 1, List.of(), dividedSteps, null, 0, 0);
    }
}
