package org.damasktiller.verification.owner;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;

import java.nio.charset.StandardCharsets;
import org.damasktiller.scheduler.cell.CellKeys;
import org.damasktiller.scheduler.model.SubmissionState;
import org.damasktiller.scheduler.model.TaskId;
import org.damasktiller.scheduler.port.StoreTransaction;
import org.damasktiller.verification.owner.CellSimulation.OwnerProcess;
import org.junit.jupiter.api.Test;

/** Tests a takeover of a cell in whose store a progress record can't be read. */
final class UnreadableProgressTest {

    /** The identifier of the submission with that record. */
    private static final String SUBMISSION = "00000000000000a1";

    /** The identifier of another submission. */
    private static final String OTHER_SUBMISSION = "00000000000000a2";

    /** The cell. */
    private final CellSimulation simulation = new CellSimulation(4);

    /** The tasks of the submission started again although they were done. */
    @Test
    void taskThatIsDoneDoesNotStartAgainIfItsProgressCannotBeRead() {
        OwnerProcess owner = simulation.startOwner();
        simulation.submit(
                SUBMISSION, CellSimulation.shortStep(1), CellSimulation.longRunningStep(1));
        simulation.runtime.advance(3_000);
        owner.kill();
        simulation.store.commit(
                new StoreTransaction()
                        .put(
                                CellKeys.progressPrefix(CellSimulation.CELL) + SUBMISSION,
                                "{\"tasks\":7".getBytes(StandardCharsets.UTF_8)));
        simulation.startOwner();
        simulation.submit(OTHER_SUBMISSION, CellSimulation.shortStep(2));
        simulation.runtime.advance(30_000);
        assertThat(simulation.invariants.startCount(new TaskId(SUBMISSION, 0, 0, 0)), equalTo(1));
        assertThat(
                simulation.submissionState(OTHER_SUBMISSION), equalTo(SubmissionState.SUCCEEDED));
        assertThat(simulation.invariants.violations(), empty());
    }
}
