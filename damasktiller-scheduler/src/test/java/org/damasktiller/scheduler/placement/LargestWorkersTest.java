package org.damasktiller.scheduler.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.equalTo;

import java.util.List;
import org.damasktiller.scheduler.model.Resources;
import org.damasktiller.scheduler.model.StepSpec;
import org.junit.jupiter.api.Test;

/** Tests which steps count as too large for every worker. */
final class LargestWorkersTest {

    /** A worker with many processors and little memory. */
    private static final Resources FAST = new Resources(96_000, 100_000, 0);

    /** A worker with few processors and much memory. */
    private static final Resources WIDE = new Resources(64_000, 250_000, 0);

    @Test
    void onlyWorkersThatNoOtherCoversAreKept() {
        LargestWorkers workers = new LargestWorkers();
        workers.add(new Resources(32_000, 50_000, 0));
        workers.add(FAST);
        workers.add(WIDE);
        workers.add(new Resources(64_000, 100_000, 0));
        assertThat(workers.capacities(), containsInAnyOrder(FAST, WIDE));
    }

    @Test
    void stepThatFitsNoSingleWorkerIsFound() {
        List<StepSpec> steps = List.of(step(1, 64_000, 250_000), step(2, 96_000, 250_000));
        assertThat(LargestWorkers.firstStepTooLarge(steps, List.of(FAST, WIDE)), equalTo(1));
    }

    @Test
    void stepThatIsOnlyTooWideForOneWorkerFits() {
        List<StepSpec> steps = List.of(step(500, 96_000, 100_000));
        assertThat(
                LargestWorkers.firstStepTooLarge(steps, List.of(FAST, WIDE)),
                equalTo(LargestWorkers.NONE));
    }

    @Test
    void everyStepFitsWhileNoWorkerIsKnown() {
        assertThat(
                LargestWorkers.firstStepTooLarge(List.of(step(1, 1_000_000, 1)), List.of()),
                equalTo(LargestWorkers.NONE));
    }

    @Test
    void largerWorkerReplacesSmaller() {
        LargestWorkers workers = new LargestWorkers();
        workers.add(WIDE);
        Resources larger = new Resources(64_000, 250_000, 1);
        workers.add(larger);
        assertThat(workers.capacities(), contains(larger));
    }

    /**
     * Creates a step.
     *
     * @param count the number of tasks
     * @param cpuMillicores the CPU of each, in millicores
     * @param memoryMb the memory of each, in megabytes
     * @return the step
     */
    private static StepSpec step(int count, long cpuMillicores, long memoryMb) {
        return StepSpec.builder(count, new Resources(cpuMillicores, memoryMb, 0)).build();
    }
}
