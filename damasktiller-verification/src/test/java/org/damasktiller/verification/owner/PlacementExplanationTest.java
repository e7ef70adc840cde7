package org.damasktiller.verification.owner;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasItem;

import org.damasktiller.scheduler.model.Resources;
import org.damasktiller.scheduler.model.StepSpec;
import org.damasktiller.verification.owner.CellSimulation.OwnerProcess;
import org.junit.jupiter.api.Test;

/** Tests the explanation of where a task would start now. */
final class PlacementExplanationTest {

    /** A task that needs a quarter of a worker. */
    private static final StepSpec SMALL = StepSpec.builder(1, new Resources(2_000, 100, 0)).build();

    /** A task that needs a whole worker. */
    private static final StepSpec LARGE = StepSpec.builder(1, new Resources(8_000, 100, 0)).build();

    @Test
    void namesTheWorkerAndCountsThoseThatEachRuleRefuses() {
        CellSimulation simulation = new CellSimulation(3);
        simulation.evacuationBoundMillis = 5_000;
        simulation.setZone("w0", "east");
        simulation.evacuate("east");
        OwnerProcess owner = simulation.startOwner();
        simulation.runtime.advance(500);
        simulation.submit("00000000000000e1", CellSimulation.longRunningStep(1));
        simulation.runtime.advance(500);
        assertThat(
                owner.explain(simulation.route(), SMALL),
                hasItem(containsString("1 in an evacuated zone")));
        assertThat(
                owner.explain(simulation.route(), SMALL),
                hasItem(containsString("would start on w")));
        assertThat(
                owner.explain(simulation.route(), LARGE),
                hasItem(containsString("1 without room")));
    }

    @Test
    void startsNothingAndSaysThatATaskWouldWait() {
        CellSimulation simulation = new CellSimulation(1);
        OwnerProcess owner = simulation.startOwner();
        simulation.runtime.advance(500);
        simulation.submit("00000000000000e1", CellSimulation.shortStep(4));
        simulation.runtime.advance(100);
        assertThat(owner.explain(simulation.route(), SMALL), hasItem(containsString("would wait")));
        simulation.runtime.advance(5_000);
        assertThat(simulation.startCount("w0"), equalTo(4));
    }

    @Test
    void ownerWhoseTermHasEndedExplainsNothing() {
        CellSimulation simulation = new CellSimulation(1);
        OwnerProcess owner = simulation.startOwner();
        simulation.runtime.advance(500);
        owner.kill();
        assertThat(owner.explain(simulation.route(), SMALL), empty());
    }
}
