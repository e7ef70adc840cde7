package org.damasktiller.verification.owner;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;

import org.damasktiller.scheduler.model.Resources;
import org.damasktiller.scheduler.model.StepSpec;
import org.damasktiller.scheduler.model.SubmissionState;
import org.junit.jupiter.api.Test;

/** Tests where a gang starts again after a worker has failed one of its members. */
final class GangRetryTest {

    /** The identifier of the submission with the gang. */
    private static final String GANG = "00000000000000f7";

    /** The factor by which members on sound workers take longer than the failing one. */
    private static final int SOUND_SLOWDOWN = 10;

    /** The cell. */
    private final CellSimulation simulation = new CellSimulation(6);

    /** All attempts of a gang were used up on one worker that fails what it starts. */
    @Test
    void gangIsNotGivenUpForOneFailingWorker() {
        for (String id : simulation.workers.keySet()) {
            simulation.slowdownFactors.put(id, SOUND_SLOWDOWN);
        }
        simulation.slowdownFactors.remove("w0");
        simulation.failingWorkers.add("w0");
        simulation.startOwner();
        simulation.submit(GANG, gangOnDistinctWorkers());
        simulation.runtime.advance(60_000);
        assertThat(simulation.invariants.violations(), empty());
        assertThat(simulation.submissionState(GANG), equalTo(SubmissionState.SUCCEEDED));
        assertThat(simulation.startCount("w0"), equalTo(1));
    }

    /**
     * Creates the step of a gang.
     *
     * @return a step of three members, each on a worker of its own
     */
    private static StepSpec gangOnDistinctWorkers() {
        return StepSpec.builder(3, new Resources(2_000, 1_000, 0))
                .estimateMillis(400)
                .gang(true)
                .maximumPerWorker(1)
                .build();
    }
}
