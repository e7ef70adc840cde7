package org.damasktiller.verification.owner;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;

import java.util.List;
import org.damasktiller.scheduler.model.Resources;
import org.damasktiller.scheduler.model.StepSpec;
import org.damasktiller.scheduler.model.TaskId;
import org.junit.jupiter.api.Test;

/** Replays a step whose first task has failed on the only worker with the label that it needs. */
final class RefusedTaskTest {

    /** The number of workers. */
    private static final int WORKERS = 8;

    /** The only worker with the label. */
    private static final String LABELLED = "w0";

    /** The label. */
    private static final String LABEL = "special";

    /** The identifier of the submission that needs the label. */
    private static final String SUBMISSION = "00000000000000f1";

    /** The number of suspicions in a row after which the last one lasts longest. */
    private static final int SUSPICIONS = 4;

    /**
     * The longest time that a task may wait while half of the cell is free, in milliseconds; given
     * by the platform's documentation.
     */
    private static final long MAX_WAIT_MILLIS = 3_000;

    /** The cell. */
    private final CellSimulation simulation = new CellSimulation(WORKERS);

    /** The number of short submissions sent. */
    private int submissionCount;

    /** A task that may use no worker ended the pass over its step, so that the next one waited. */
    @Test
    void taskStartsAlthoughAnEarlierOneOfItsStepMayUseNoWorker() {
        simulation.labels.put(LABELLED, List.of(LABEL));
        simulation.register(LABELLED, false);
        simulation.startOwner();
        simulation.failingWorkers.add(LABELLED);
        while (suspicionCount() < SUSPICIONS) {
            submitShortTask();
            simulation.runtime.advance(20);
        }
        TaskId first = new TaskId(SUBMISSION, 0, 0, 0);
        TaskId second = new TaskId(SUBMISSION, 0, 0, 1);
        simulation.submit(
                SUBMISSION,
                StepSpec.builder(2, new Resources(2_000, 1_000, 0)).requiredLabel(LABEL).build());
        simulation.runtime.advance(MAX_WAIT_MILLIS);
        assertThat(simulation.invariants.startCount(first), equalTo(1));
        assertThat(simulation.invariants.startCount(second), equalTo(1));
        assertThat(simulation.invariants.violations(), empty());
    }

    /**
     * Counts how often the worker with the label has become suspect.
     *
     * @return the number of suspicions
     */
    private long suspicionCount() {
        return simulation.logLines.stream()
                .filter(line -> line.contains(" worker.suspect [worker, " + LABELLED + ","))
                .count();
    }

    /** Submits a short task that any worker may run. */
    private void submitShortTask() {
        simulation.submit(
                String.format("%016x", 0x7000 + submissionCount), CellSimulation.shortStep(1));
        submissionCount++;
    }
}
