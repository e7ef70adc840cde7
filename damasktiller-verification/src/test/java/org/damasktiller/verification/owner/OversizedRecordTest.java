package org.damasktiller.verification.owner;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.not;

import org.damasktiller.scheduler.cell.CellKeys;
import org.damasktiller.scheduler.model.SubmissionState;
import org.damasktiller.verification.owner.CellSimulation.OwnerProcess;
import org.junit.jupiter.api.Test;

/** Tests an owner whose store rejects a record as too long. */
final class OversizedRecordTest {

    /** The identifier of the submission whose progress grows too long. */
    private static final String LARGE = "00000000000000a1";

    /** The identifiers of small submissions begin with this. */
    private static final String SMALL = "00000000000000b";

    /** The longest value of the store, in bytes: that of the progress of about 30 tasks. */
    private static final int VALUE_BYTES = 1_500;

    /** The cell. */
    private final CellSimulation simulation = new CellSimulation(2);

    /** One record that the store rejected stopped the commits of the whole cell. */
    @Test
    void recordThatTheStoreRejectsDoesNotStopItsCell() {
        simulation.store.limitValues(VALUE_BYTES);
        simulation.startOwner();
        simulation.submit(LARGE, CellSimulation.shortStep(80));
        for (int number = 0; number < 8; number++) {
            simulation.submit(SMALL + number, CellSimulation.shortStep(2));
            simulation.runtime.advance(3_000);
        }
        for (int number = 0; number < 8; number++) {
            assertThat(
                    simulation.submissionState(SMALL + number), equalTo(SubmissionState.SUCCEEDED));
        }
        assertThat(
                simulation.logLines,
                hasItem(containsString(CellKeys.progressPrefix(CellSimulation.CELL) + LARGE)));
        assertThat(simulation.logLines, hasItem(containsString("commit.set-aside")));
        assertThat(simulation.invariants.violations(), empty());
    }

    /** Ends that were not stored must be there for the next owner. */
    @Test
    void submissionThatWasSetAsideIsCompletedByTheNextOwner() {
        simulation.store.limitValues(VALUE_BYTES);
        OwnerProcess owner = simulation.startOwner();
        simulation.submit(LARGE, CellSimulation.shortStep(80));
        simulation.runtime.advance(15_000);
        assertThat(simulation.submissionState(LARGE), not(equalTo(SubmissionState.SUCCEEDED)));
        owner.kill();
        simulation.store.limitValues(1_000_000);
        simulation.startOwner();
        simulation.runtime.advance(30_000);
        assertThat(simulation.submissionState(LARGE), equalTo(SubmissionState.SUCCEEDED));
        assertThat(simulation.invariants.violations(), empty());
    }
}
