package org.damasktiller.verification.owner;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.startsWith;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.damasktiller.scheduler.cell.CellKeys;
import org.damasktiller.scheduler.model.Resources;
import org.damasktiller.scheduler.model.StepSpec;
import org.damasktiller.scheduler.model.StepSpecBuilder;
import org.damasktiller.scheduler.port.StoreStatus;
import org.damasktiller.scheduler.port.StoreTransaction;
import org.damasktiller.standin.metadata.CallFault;
import org.damasktiller.standin.metadata.FaultPlan;
import org.junit.jupiter.api.Test;

/** Tests that a late copy of a write of an owner fails. */
final class LateCopyTest {

    /** The other cell, to which tasks move. */
    private static final String OTHER_CELL = "other";

    /** The cells. */
    private final CellSimulation simulation = new CellSimulation(2);

    /** The writes of all owners. */
    private final List<StoreTransaction> writes = new ArrayList<>();

    /** Records the writes, all of which are carried out. */
    private final FaultPlan recorder =
            new FaultPlan() {
                @Override
                public CallFault faultFor(String call) {
                    return CallFault.ANSWERED;
                }

                @Override
                public CallFault faultForCommit(StoreTransaction transaction) {
                    writes.add(transaction);
                    return CallFault.ANSWERED;
                }
            };

    // A late copy of a write of counts took effect, as its only condition was the owner.
    @Test
    void copiesOfAllWritesOfOwnersFail() {
        simulation.addWorker("o1", OTHER_CELL);
        simulation.addWorker("o2", OTHER_CELL);
        startOwner(CellSimulation.CELL);
        startOwner(OTHER_CELL);
        simulation.submit("00000000000000b1", CellSimulation.longRunningStep(12));
        simulation.submit("00000000000000b2", CellSimulation.shortStep(6));
        simulation.runtime.advance(10_000);
        simulation.submit("00000000000000b3", CellSimulation.shortStep(20));
        simulation.cancel("00000000000000b1");
        simulation.runtime.advance(10_000);
        assertThat(keys(), hasItem(startsWith(CellKeys.PENDING_PREFIX)));
        assertThat(keys(), hasItem(startsWith(CellKeys.progressPrefix(CellSimulation.CELL))));
        assertThat(keys(), hasItem(CellKeys.parts("00000000000000b1")));
        assertThat(keys(), hasItem(CellKeys.roster(CellSimulation.CELL)));
        assertThat(carriedOut(simulation), empty());
    }

    // An older record of estimates took the place of a newer one.
    @Test
    void copiesOfWritesOfEstimatesFail() {
        CellSimulation small = new CellSimulation(1);
        small.tailMillis = 50;
        small.startOwner(recorder, FaultPlan.NO_FAULTS);
        small.submit("00000000000000b4", step("server").lasting(true).targetMillis(100).build());
        small.runtime.advance(5_000);
        small.submit(
                "00000000000000b5", step("filler").filling(true).estimateMillis(60_000).build());
        small.runtime.advance(20_000);
        assertThat(keys(), hasItem(CellKeys.interference(CellSimulation.CELL)));
        assertThat(carriedOut(small), empty());
    }

    /**
     * Carries all writes out once more.
     *
     * @param cells the cells of the owners
     * @return the keys of those that took effect
     */
    private List<Set<String>> carriedOut(CellSimulation cells) {
        List<Set<String>> carriedOut = new ArrayList<>();
        for (StoreTransaction write : List.copyOf(writes)) {
            if (cells.store.commit(write).status() != StoreStatus.CONFLICT) {
                carriedOut.add(write.writes().keySet());
            }
        }
        return carriedOut;
    }

    /**
     * Creates a step of one task.
     *
     * @param image the image of the task
     * @return the builder of the step
     */
    private static StepSpecBuilder step(String image) {
        return StepSpec.builder(1, new Resources(1_000, 1_000, 0)).image(image);
    }

    /**
     * Starts an owner whose writes are recorded.
     *
     * @param cell the name of the cell
     */
    private void startOwner(String cell) {
        simulation.startOwner(cell, recorder, FaultPlan.NO_FAULTS, simulation.unreachable);
    }

    /**
     * Returns the keys that owners have written.
     *
     * @return the keys
     */
    private Set<String> keys() {
        Set<String> keys = new TreeSet<>();
        writes.forEach(write -> keys.addAll(write.writes().keySet()));
        return keys;
    }
}
