package org.damasktiller.verification.owner;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;

import java.util.List;
import org.damasktiller.scheduler.model.Resources;
import org.damasktiller.scheduler.model.StepSpec;
import org.damasktiller.scheduler.model.TaskId;
import org.junit.jupiter.api.Test;

/** Replays a step that needs advice, in a cell of more workers than tickets are valid for. */
final class AdviceTest {

    /** The number of workers, about which the advice service takes longer than a ticket lasts. */
    private static final int WORKERS = 200;

    /** The only worker with the label, the last one by name. */
    private static final String LABELLED = "w99";

    /** The label. */
    private static final String LABEL = "special";

    /**
     * The longest time that a submission may wait while half of the cell is free, in milliseconds;
     * given by the platform's documentation.
     */
    private static final long MAX_WAIT_MILLIS = 3_000;

    /** Tickets were asked for in turn for workers that may not run the step, without an end. */
    @Test
    void taskStartsOnTheOnlyWorkerWithItsLabelAmongManyOthers() {
        CellSimulation simulation = new CellSimulation(WORKERS);
        simulation.labels.put(LABELLED, List.of(LABEL));
        simulation.register(LABELLED, false);
        simulation.adviceNeeded = true;
        simulation.advisedWorkers.addAll(simulation.workers.keySet());
        simulation.startOwner();
        simulation.runtime.advance(500);
        String id = "00000000000000f1";
        simulation.submit(
                id,
                StepSpec.builder(1, new Resources(2_000, 1_000, 0)).requiredLabel(LABEL).build());
        simulation.runtime.advance(MAX_WAIT_MILLIS);
        assertThat(simulation.invariants.startCount(new TaskId(id, 0, 0, 0)), equalTo(1));
        assertThat(simulation.invariants.violations(), empty());
    }
}
