package org.damasktiller.verification.owner;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.not;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.damasktiller.scheduler.cell.CellKeys;
import org.damasktiller.scheduler.cell.ProgressRecord;
import org.damasktiller.scheduler.cell.StoredValueCodec;
import org.damasktiller.scheduler.model.Resources;
import org.damasktiller.scheduler.model.StepSpec;
import org.damasktiller.scheduler.model.SubmissionState;
import org.damasktiller.scheduler.model.TaskId;
import org.damasktiller.scheduler.port.StoreItem;
import org.damasktiller.scheduler.port.StoreTransaction;
import org.damasktiller.standin.metadata.CallFault;
import org.damasktiller.standin.metadata.FaultPlan;
import org.damasktiller.verification.owner.CellSimulation.OwnerProcess;
import org.junit.jupiter.api.Test;

/** Tests submissions of so many tasks that their progress does not fit in one value. */
final class LargeSubmissionTest {

    /** The identifier of the submission. */
    private static final String SUBMISSION = "00000000000000a1";

    /** The prefix of the keys of its progress. */
    private static final String PROGRESS =
            CellKeys.progressPrefix(CellSimulation.CELL) + SUBMISSION;

    /** The name of the other cell. */
    private static final String OTHER_CELL = CellSimulation.CELL + "@0";

    /** The longest value of the store, in bytes: that of the progress of about 140 tasks. */
    private static final int VALUE_BYTES = 6_000;

    /** The number of cases with faults; their seeds count from 0. */
    private static final int SEED_COUNT = 20;

    /** The faults that calls to the store may have. */
    private static final List<CallFault> FAULTS = List.of(CallFault.values());

    /** The number of calls to the store of which one has a fault in these cases. */
    private static final int CALLS_PER_FAULT = 10;

    /** The cell. */
    private final CellSimulation simulation = new CellSimulation(10);

    /** Once the progress was longer than the store allows, nothing of the cell was stored. */
    @Test
    void progressOfALargeSubmissionDoesNotOutgrowTheStore() {
        simulation.store.limitValues(VALUE_BYTES);
        simulation.startOwner();
        simulation.submit(
                SUBMISSION, CellSimulation.shortStep(1_000), CellSimulation.shortStep(500, 0));
        simulation.runtime.advance(60_000);
        assertThat(simulation.submissionState(SUBMISSION), equalTo(SubmissionState.SUCCEEDED));
        assertThat(simulation.logLines, not(hasItem(containsString("commit.set-aside"))));
        assertThat(simulation.store.list(PROGRESS, "").items(), empty());
        assertThat(simulation.invariants.violations(), empty());
    }

    /** A task that was done must not start again, whichever block tells that it is. */
    @Test
    void takeoverContinuesALargeSubmission() {
        simulation.store.limitValues(VALUE_BYTES);
        simulation.submit(SUBMISSION, CellSimulation.shortStep(1_000));
        for (int round = 0; round < 4; round++) {
            OwnerProcess owner = simulation.startOwner();
            simulation.runtime.advance(9_000);
            owner.kill();
        }
        simulation.startOwner();
        simulation.runtime.advance(60_000);
        assertThat(simulation.submissionState(SUBMISSION), equalTo(SubmissionState.SUCCEEDED));
        assertThat(simulation.store.list(PROGRESS, "").items(), empty());
        assertThat(simulation.invariants.violations(), empty());
    }

    /** Blocks of one version that are stored in several transactions were lost or mixed up. */
    @Test
    void faultsOfTheStoreLoseNoBlock() {
        for (int seed = 0; seed < SEED_COUNT; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            CellSimulation cell = new CellSimulation(10);
            cell.submit(
                    SUBMISSION, CellSimulation.shortStep(300), CellSimulation.shortStep(200, 0));
            FaultPlan faults =
                    call ->
                            random.nextInt(CALLS_PER_FAULT) == 0
                                    ? FAULTS.get(random.nextInt(FAULTS.size()))
                                    : CallFault.ANSWERED;
            for (int round = 0; round < 5; round++) {
                OwnerProcess owner = cell.startOwner(faults, FaultPlan.NO_FAULTS);
                cell.runtime.advance(2_000 + random.nextInt(3_000));
                owner.kill();
            }
            cell.startOwner();
            cell.runtime.advance(60_000);
            assertThat(
                    "seed " + seed,
                    cell.submissionState(SUBMISSION),
                    equalTo(SubmissionState.SUCCEEDED));
            assertThat("seed " + seed, cell.store.list(PROGRESS, "").items(), empty());
            assertThat("seed " + seed, cell.invariants.violations(), empty());
        }
    }

    /** Progress that a release without blocks has stored was lost or blocked the submission. */
    @Test
    void progressInASingleValueIsTakenOver() {
        simulation.submit(SUBMISSION, CellSimulation.shortStep(600));
        List<ProgressRecord.Entry> entries = new ArrayList<>();
        for (int index = 0; index < 400; index++) {
            entries.add(
                    new ProgressRecord.Entry(
                            0, 0, index, true, List.of(), 1_001, false, "", 0, 0, 0, null));
        }
        simulation.store.commit(
                new StoreTransaction()
                        .put(PROGRESS, StoredValueCodec.encode(new ProgressRecord(entries))));
        OwnerProcess owner = simulation.startOwner();
        simulation.runtime.advance(1_500);
        owner.kill();
        simulation.startOwner();
        simulation.runtime.advance(30_000);
        assertThat(simulation.submissionState(SUBMISSION), equalTo(SubmissionState.SUCCEEDED));
        for (int index = 0; index < 400; index++) {
            TaskId task = new TaskId(SUBMISSION, 0, 0, index);
            assertThat(simulation.invariants.startCount(task), equalTo(0));
        }
        assertThat(simulation.store.list(PROGRESS, "").items(), empty());
        assertThat(simulation.invariants.violations(), empty());
    }

    /** A release without blocks must not take the progress for absent. */
    @Test
    void progressInBlocksCannotBeReadAsASingleValue() {
        simulation.startOwner();
        simulation.submit(SUBMISSION, CellSimulation.shortStep(200));
        simulation.runtime.advance(1_500);
        byte[] value = simulation.store.value(PROGRESS);
        assertThat(value == null, equalTo(false));
        assertThat(
                StoredValueCodec.decode(value == null ? new byte[0] : value, ProgressRecord.class)
                        == null,
                equalTo(true));
    }

    /** The tasks of a block that can't be read were taken for tasks that have not run. */
    @Test
    void blockThatCannotBeReadHoldsItsSubmissionBack() {
        OwnerProcess owner = simulation.startOwner();
        simulation.submit(SUBMISSION, CellSimulation.shortStep(600));
        simulation.runtime.advance(3_000);
        owner.kill();
        simulation.store.commit(
                new StoreTransaction()
                        .put(PROGRESS + "/0", "{\"done\":7".getBytes(StandardCharsets.UTF_8)));
        simulation.startOwner();
        simulation.runtime.advance(30_000);
        assertThat(simulation.logLines, hasItem(containsString("progress.unreadable")));
        assertThat(simulation.logLines, hasItem(containsString(PROGRESS + "/0")));
        assertThat(simulation.invariants.startCount(new TaskId(SUBMISSION, 0, 0, 0)), equalTo(1));
        assertThat(simulation.invariants.violations(), empty());
    }

    /** What an owner had not removed when it ended stayed in the store for ever. */
    @Test
    void blocksOfASubmissionThatIsOverAreRemovedByTheNextOwner() {
        for (int block = 0; block < 70; block++) {
            simulation.store.commit(
                    new StoreTransaction().put(PROGRESS + '/' + block, new byte[] {'{', '}'}));
        }
        simulation.startOwner();
        simulation.runtime.advance(3_000);
        assertThat(simulation.store.list(PROGRESS, "").items(), empty());
    }

    /** Progress of tasks that have moved stayed in the blocks of their former home. */
    @Test
    void tasksOfALargeSubmissionMoveOnceAndRunOnce() {
        CellSimulation cells = new CellSimulation(3);
        for (int number = 0; number < 14; number++) {
            cells.addWorker("x" + number, OTHER_CELL);
        }
        List<OwnerProcess> owners = startOwners(cells);
        cells.runtime.advance(2_000);
        cells.submit(
                SUBMISSION,
                StepSpec.builder(150, new Resources(500, 100, 0))
                        .estimateMillis(400)
                        .lasting(true)
                        .build());
        cells.runtime.advance(40_000);
        assertThat(notRunningOnce(cells, 150), empty());
        owners.forEach(OwnerProcess::kill);
        startOwners(cells);
        cells.runtime.advance(40_000);
        assertThat(notRunningOnce(cells, 150), empty());
        assertThat(cells.logLines, hasItem(containsString("task.moved")));
        cells.cancel(SUBMISSION);
        cells.runtime.advance(10_000);
        assertThat(cells.store.list(PROGRESS, "").items(), empty());
        assertThat(cells.store.list(CellKeys.progressPrefix(OTHER_CELL), "").items(), empty());
        assertThat(cells.invariants.violations(), empty());
    }

    /**
     * Starts the owners of two cells.
     *
     * @param cells the cells
     * @return the owners
     */
    private static List<OwnerProcess> startOwners(CellSimulation cells) {
        return List.of(
                cells.startOwner(),
                cells.startOwner(
                        OTHER_CELL, FaultPlan.NO_FAULTS, FaultPlan.NO_FAULTS, cells.unreachable));
    }

    /**
     * Returns the tasks that do not have exactly one run.
     *
     * @param cells the cells
     * @param count the number of tasks of the only step
     * @return the tasks
     */
    private static List<TaskId> notRunningOnce(CellSimulation cells, int count) {
        List<TaskId> found = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            TaskId task = new TaskId(SUBMISSION, 0, 0, index);
            if (cells.invariants.activeRunCount(task) != 1) {
                found.add(task);
            }
        }
        return found;
    }

    /** The blocks of a cancelled submission stayed in the store. */
    @Test
    void cancelledLargeSubmissionLeavesNoProgress() {
        simulation.startOwner();
        simulation.submit(SUBMISSION, CellSimulation.shortStep(600));
        simulation.runtime.advance(3_000);
        List<StoreItem> before = simulation.store.list(PROGRESS, "").items();
        assertThat(before, not(empty()));
        simulation.cancel(SUBMISSION);
        simulation.runtime.advance(10_000);
        assertThat(simulation.store.list(PROGRESS, "").items(), empty());
        assertThat(simulation.invariants.violations(), empty());
    }
}
