package org.damasktiller.scheduler.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.nullValue;

import java.util.List;
import org.damasktiller.scheduler.model.Resources;
import org.damasktiller.scheduler.model.StepSpec;
import org.damasktiller.scheduler.placement.MoveTarget.Candidate;
import org.junit.jupiter.api.Test;

/**
 * Tests where waiting tasks move, with the load of the report: a step of 23 tasks, one a worker, in
 * a cell of 13 workers, while five other cells have most of their room.
 */
final class MoveTargetTest {

    /** The step, of which ten tasks wait. */
    private static final StepSpec WIDE =
            StepSpec.builder(23, new Resources(2_850, 4_592, 0))
                    .lasting(true)
                    .maximumPerWorker(1)
                    .build();

    /** Workers that hold two tasks of the step. */
    private static final Resources LARGE = new Resources(8_000, 16_000, 0);

    /** Workers that hold none. */
    private static final Resources SMALL = new Resources(2_000, 16_000, 0);

    @Test
    void mostWorkersThatHoldOneMoreTaskWin() {
        MoveTarget target =
                MoveTarget.choose(
                        WIDE,
                        List.of(
                                cell("a", LARGE, 5, 0),
                                cell("b", LARGE, 13, 0),
                                cell("c", SMALL, 40, 0)));

        assertThat(target, equalTo(new MoveTarget("b", 7)));
    }

    @Test
    void workersThatTasksOfTheStepMayUseDoNotCount() {
        MoveTarget target =
                MoveTarget.choose(WIDE, List.of(cell("a", LARGE, 5, 0), cell("b", LARGE, 13, 10)));

        assertThat(target, equalTo(new MoveTarget("a", 3)));
    }

    @Test
    void noCellWithRoomIsNoTarget() {
        assertThat(
                MoveTarget.choose(WIDE, List.of(cell("a", SMALL, 13, 0), cell("b", LARGE, 7, 7))),
                nullValue());
    }

    @Test
    void unknownRoomIsNoTarget() {
        assertThat(MoveTarget.choose(WIDE, List.of(new Candidate("a", List.of(), 0))), nullValue());
    }

    @Test
    void missingLabelIsNoTarget() {
        StepSpec labelled =
                StepSpec.builder(23, new Resources(2_850, 4_592, 0)).requiredLabel("ssd").build();

        assertThat(MoveTarget.choose(labelled, List.of(cell("a", LARGE, 5, 0))), nullValue());
    }

    @Test
    void withoutLimitEachWorkerCountsForAllTasksThatFit() {
        StepSpec unlimited = StepSpec.builder(23, new Resources(2_850, 4_592, 0)).build();

        assertThat(
                MoveTarget.choose(unlimited, List.of(cell("a", LARGE, 5, 3))),
                equalTo(new MoveTarget("a", 5)));
    }

    /**
     * Creates a cell of equal workers.
     *
     * @param name the name of the cell
     * @param free the free room of each worker
     * @param workers the number of workers
     * @param slotsTaken the number of slots that tasks of the step take or may still take
     * @return the cell
     */
    private static Candidate cell(String name, Resources free, int workers, int slotsTaken) {
        return new Candidate(name, List.of(new WorkerRoom(free, List.of(), workers)), slotsTaken);
    }
}
