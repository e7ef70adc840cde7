package org.damasktiller.verification.owner;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.lessThan;

import org.damasktiller.scheduler.model.SubmissionState;
import org.damasktiller.scheduler.model.TaskId;
import org.junit.jupiter.api.Test;

/** Tests how the owner of a cell handles slow workers and tasks, on a virtual clock. */
class StragglerTest {

    private static final String JOB = "00000000000000d1";

    /**
     * A task that makes almost no progress on its worker is stopped and completed by another
     * worker, long before the slow run would complete.
     */
    @Test
    void taskThatStandsStillGoesOnElsewhere() {
        OwnerWorld world = new OwnerWorld(3);
        world.slowness.put("w0", 100);
        world.own();
        world.submit(JOB, OwnerWorld.step(6));
        world.runtime.advance(6_000);
        assertThat(world.state(JOB), equalTo(SubmissionState.SUCCEEDED));
        assertThat(world.audit.violations(), empty());
    }

    /** Tasks submitted while a worker is known to be slow start on other workers. */
    @Test
    void newWorkGoesToWorkersThatAreNotSlow() {
        OwnerWorld world = new OwnerWorld(3);
        world.slowness.put("w0", 100);
        world.own();
        world.submit(JOB, OwnerWorld.step(6));
        world.runtime.advance(4_000);
        int before = world.starts("w0");
        world.submit("00000000000000d2", OwnerWorld.step(4));
        world.runtime.advance(1_000);
        assertThat(world.starts("w0"), equalTo(before));
    }

    /** A task that only takes longer than its declared estimate stays on its worker. */
    @Test
    void taskThatIsLargerThanDeclaredIsNotMoved() {
        OwnerWorld world = new OwnerWorld(3);
        world.workMillis = 1_200;
        world.own();
        world.submit(JOB, OwnerWorld.step(6));
        world.runtime.advance(4_000);
        assertThat(world.state(JOB), equalTo(SubmissionState.SUCCEEDED));
        for (int index = 0; index < 6; index++) {
            assertThat(world.audit.starts(new TaskId(JOB, 0, 0, index)), lessThan(2));
        }
    }
}
