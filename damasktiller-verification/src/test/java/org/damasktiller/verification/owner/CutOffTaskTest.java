package org.damasktiller.verification.owner;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.not;

import java.util.List;
import org.damasktiller.scheduler.model.Resources;
import org.damasktiller.scheduler.model.StepSpec;
import org.damasktiller.scheduler.model.SubmissionState;
import org.damasktiller.standin.fleet.SimulatedWorker;
import org.damasktiller.verification.owner.CellSimulation.OwnerProcess;
import org.junit.jupiter.api.Test;

/** Tests a sound task whose workers are cut off while owners end. No worker crashes. */
final class CutOffTaskTest {

    /** The identifier of the submission of the task. */
    private static final String SOUND = "00000000000000a1";

    /** The number of workers. */
    private static final int WORKERS = 6;

    /** How long the task runs, in milliseconds: longer than two cuts are apart. */
    private static final long DURATION_MILLIS = 25_000;

    /** The number of cuts: one more than the starts that the platform allows a crashing task. */
    private static final int CUTS = 6;

    /** How long the task runs until its worker is cut off, in milliseconds. */
    private static final long CALM_MILLIS = 3_000;

    /** How long after the cut the owner ends, in milliseconds. */
    private static final long SILENCE_MILLIS = 2_500;

    /** How long after that the worker can be reached again, in milliseconds. */
    private static final long CUT_MILLIS = 9_500;

    /** The cell. */
    private final CellSimulation simulation = new CellSimulation(WORKERS);

    /** Workers that were only cut off counted as crashed under the task. */
    @Test
    void soundTaskWhoseWorkersAreCutOffWhileOwnersEndIsNotGivenUp() {
        simulation.taskDurationMillis = DURATION_MILLIS;
        OwnerProcess owner = simulation.startOwner();
        simulation.submit(
                SOUND,
                StepSpec.builder(1, new Resources(2_000, 1_000, 0))
                        .estimateMillis(DURATION_MILLIS)
                        .build());
        for (int cut = 0; cut < CUTS; cut++) {
            simulation.runtime.advance(CALM_MILLIS);
            List<String> holders =
                    simulation.workers.values().stream()
                            .filter(worker -> worker.activeRunCount() > 0)
                            .map(SimulatedWorker::id)
                            .toList();
            simulation.unreachable.addAll(holders);
            simulation.runtime.advance(SILENCE_MILLIS);
            owner.kill();
            owner = simulation.startOwner();
            simulation.runtime.advance(CUT_MILLIS);
            simulation.unreachable.removeAll(holders);
        }
        assertThat(simulation.submissionState(SOUND), not(equalTo(SubmissionState.FAILED)));
        owner.kill();
    }
}
