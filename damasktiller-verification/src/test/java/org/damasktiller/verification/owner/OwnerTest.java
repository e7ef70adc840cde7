package org.damasktiller.verification.owner;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
import org.damasktiller.scheduler.model.SubmissionState;
import org.damasktiller.scheduler.model.TaskId;
import org.damasktiller.standin.metadata.CallFate;
import org.damasktiller.standin.metadata.FatePlan;
import org.damasktiller.verification.owner.OwnerWorld.OwnerProcess;
import org.junit.jupiter.api.Test;

/** Tests the owner of a cell over single failures. */
final class OwnerTest {

    /** A submission. */
    private static final String JOB = "00000000000000a1";

    @Test
    void stepsRunInOrderAndTheResultIsStored() {
        OwnerWorld world = new OwnerWorld(3);
        world.own();
        world.submit(JOB, OwnerWorld.step(6), OwnerWorld.step(4, 0));
        world.runtime.advance(3_000);
        assertThat(world.state(JOB), equalTo(SubmissionState.SUCCEEDED));
        assertThat(world.audit.violations(), empty());
        assertThat(world.audit.done().size(), equalTo(10));
    }

    /**
     * A store that can't be written holds back the ends of four failed runs; a successor finds them
     * listed by different workers in any order, and may start the task no more.
     */
    @Test
    void failedRunsListedInAnyOrderAllCount() {
        OwnerWorld world = new OwnerWorld(4);
        OwnerProcess first =
                world.own(
                        call ->
                                call.equals("commit") && world.runtime.nowMillis() > 100
                                        ? CallFate.LOST
                                        : CallFate.ANSWERED,
                        FatePlan.CALM);
        world.runtime.advance(200);
        for (int number = 0; number < 12; number++) {
            String id = "00000000000000c" + Integer.toHexString(number);
            world.hopeless.add(id);
            world.submit(id, OwnerWorld.step(1));
            world.runtime.advance(60);
        }
        world.runtime.advance(2_500);
        first.kill();
        world.own();
        world.runtime.advance(12_000);
        for (int number = 0; number < 12; number++) {
            String id = "00000000000000c" + Integer.toHexString(number);
            assertThat(world.state(id), equalTo(SubmissionState.FAILED));
            assertThat(world.audit.starts(new TaskId(id, 0, 0, 0)), equalTo(OwnerWorld.ATTEMPTS));
        }
        assertThat(world.audit.violations(), empty());
    }

    @Test
    void lastingTasksGoOnElsewhereWhenTheirWorkerIsGone() {
        OwnerWorld world = new OwnerWorld(3);
        world.own();
        world.submit(JOB, OwnerWorld.lasting(2));
        world.runtime.advance(1_000);
        for (String id : world.workers.keySet()) {
            if (world.workers.get(id).activeRuns() > 0) {
                world.cut.add(id);
                world.unregister(id);
                break;
            }
        }
        world.runtime.advance(9_000);
        assertThat(world.audit.violations(), empty());
        assertThat(world.audit.active(new TaskId(JOB, 0, 0, 0)), equalTo(1));
        assertThat(world.audit.active(new TaskId(JOB, 0, 0, 1)), equalTo(1));
    }

    /**
     * The room kept for urgent work is not kept from a lasting task that has run before, even if
     * its worker was lost while the owner changed.
     */
    @Test
    void lastingTaskThatRanComesBackUnderTheNextOwner() {
        OwnerWorld world = new OwnerWorld(2);
        OwnerProcess first = world.own();
        world.submit(JOB, OwnerWorld.lasting(6));
        world.runtime.advance(1_000);
        first.kill();
        world.cut.add("w0");
        world.unregister("w0");
        world.own();
        world.addWorker("w2");
        world.submit("00000000000000a2", OwnerWorld.lasting(1));
        world.runtime.advance(12_000);
        for (int index = 0; index < 6; index++) {
            assertThat(world.audit.active(new TaskId(JOB, 0, 0, index)), equalTo(1));
        }
        assertThat(world.audit.violations(), empty());
    }

    @Test
    void cancelledWorkStopsAndStartsNoMore() {
        OwnerWorld world = new OwnerWorld(2);
        world.own();
        world.submit(JOB, OwnerWorld.lasting(2));
        world.runtime.advance(1_000);
        world.cancel(JOB);
        world.runtime.advance(1_000);
        assertThat(world.audit.active(new TaskId(JOB, 0, 0, 0)), equalTo(0));
        int starts = world.audit.starts(new TaskId(JOB, 0, 0, 0));
        world.runtime.advance(3_000);
        assertThat(world.audit.starts(new TaskId(JOB, 0, 0, 0)), equalTo(starts));
    }

    @Test
    void pausedOwnerStartsNothingAfterItsSuccessor() {
        OwnerWorld world = new OwnerWorld(2);
        OwnerProcess first = world.own();
        world.runtime.advance(500);
        world.own();
        world.submit(JOB, OwnerWorld.step(4));
        world.runtime.advance(3_000);
        assertThat(first.ended, is(true));
        assertThat(world.audit.violations(), empty());
        assertThat(world.state(JOB), equalTo(SubmissionState.SUCCEEDED));
    }

    /** A listing of the store that is older than the close of a job must not bring it back. */
    @Test
    void closedJobIsNotTakenFromAnOlderListing() {
        OwnerWorld world = new OwnerWorld(8);
        world.own();
        world.runtime.advance(100);
        for (int round = 0; round < 600; round++) {
            if (round % 4 == 0 && round < 160) {
                world.submit(String.format("%016x", round), OwnerWorld.step(1));
            }
            world.runtime.advance(3);
            world.store.compact();
        }
        world.runtime.advance(3_000);
        assertThat(world.audit.violations(), empty());
        for (int round = 0; round < 160; round += 4) {
            TaskId task = new TaskId(String.format("%016x", round), 0, 0, 0);
            assertThat(world.audit.starts(task), equalTo(1));
        }
    }

    /**
     * A worker that is cut off keeps running what it has; a second change of the owner must not
     * make the cell forget it, so that its tasks are not started twice.
     */
    @Test
    void secondTakeoverStillWaitsForAWorkerThatIsCutOff() {
        OwnerWorld world = new OwnerWorld(3);
        OwnerProcess first = world.own();
        world.submit(JOB, OwnerWorld.lasting(3));
        world.runtime.advance(1_000);
        world.cut.add("w0");
        world.unregister("w0");
        first.kill();
        OwnerProcess second = world.own();
        world.runtime.advance(400);
        second.kill();
        world.own();
        world.runtime.advance(12_000);
        assertThat(world.audit.violations(), empty());
    }

    /**
     * An owner is frozen, and wakes at a worker that its successor does not know and that no fence
     * has reached: it may not lengthen the lease there beyond the time that its successor waits.
     */
    @Test
    void ownerThatWakesDoesNotLengthenALeaseBeyondItsAuthority() {
        OwnerWorld world = new OwnerWorld(1);
        OwnerProcess first = world.own(cutFromTheStoreAfter(world, 1_000), FatePlan.CALM);
        world.submit(JOB, OwnerWorld.lasting(3));
        world.runtime.advance(1_700);
        first.clock.freeze();
        world.unregister("w0");
        world.addWorker("w1");
        world.own();
        world.runtime.advance(3_000);
        first.clock.thaw();
        world.runtime.advance(12_000);
        assertThat(world.audit.active(new TaskId(JOB, 0, 0, 0)), equalTo(1));
        assertThat(world.audit.violations(), empty());
    }

    /**
     * An owner wakes and sees a submission that came after its successor's term began; it may not
     * start it at a worker that no fence has reached.
     */
    @Test
    void ownerThatWakesStartsNothingThatCameAfterItsTerm() {
        OwnerWorld world = new OwnerWorld(1);
        OwnerProcess first = world.own(cutFromTheStoreAfter(world, 1_000), FatePlan.CALM);
        world.runtime.advance(1_700);
        first.clock.freeze();
        world.unregister("w0");
        world.addWorker("w1");
        world.own();
        world.runtime.advance(200);
        world.workMillis = 3_000;
        world.submit(JOB, OwnerWorld.step(3));
        world.runtime.advance(300);
        first.clock.thaw();
        world.runtime.advance(12_000);
        assertThat(world.audit.violations(), empty());
        assertThat(world.state(JOB), equalTo(SubmissionState.SUCCEEDED));
    }

    /**
     * Soak seed 235: a start reached the new life of a worker before its owner had heard of that
     * life, and the next look acknowledged, by the numbers of the former life, an end that the
     * owner had not seen; the task ran a second time.
     */
    @Test
    void firstLookAtANewLifeAcknowledgesNothing() {
        OwnerWorld world = new OwnerWorld(1);
        world.workMillis = 30;
        AtomicBoolean crashes = new AtomicBoolean();
        world.own(
                FatePlan.CALM,
                call -> {
                    if (call.equals("start") && crashes.getAndSet(false)) {
                        world.workers.get("w0").boot();
                        return CallFate.ANSWER_LOST;
                    }
                    return CallFate.ANSWERED;
                });
        world.runtime.advance(500);
        world.submit("00000000000000a9", OwnerWorld.step(3));
        world.runtime.advance(2_000);
        crashes.set(true);
        world.submit(JOB, OwnerWorld.step(1));
        world.runtime.advance(20_000);
        assertThat(world.audit.violations(), empty());
        assertThat(world.state(JOB), equalTo(SubmissionState.SUCCEEDED));
    }

    /** A store that refuses one owner must not leave it sending orders that workers refuse. */
    @Test
    void ownerThatTheStoreRefusesEndsAtTheFirstFence() {
        OwnerWorld world = new OwnerWorld(2);
        OwnerProcess first =
                world.own(
                        call ->
                                world.runtime.nowMillis() > 500
                                        ? CallFate.REFUSED
                                        : CallFate.ANSWERED,
                        FatePlan.CALM);
        world.submit(JOB, OwnerWorld.lasting(4));
        world.runtime.advance(1_000);
        world.own();
        world.runtime.advance(1_000);
        assertThat(first.ended, is(true));
        assertThat(world.audit.violations(), empty());
    }

    @Test
    void stepsOfAQueueThatNeedsAdviceRunOnTheWorkersItAllows() {
        OwnerWorld world = new OwnerWorld(4);
        world.adviceNeeded = true;
        world.advised.add("w2");
        world.own();
        world.submit(JOB, OwnerWorld.step(6), OwnerWorld.step(2, 0));
        world.runtime.advance(6_000);
        assertThat(world.state(JOB), equalTo(SubmissionState.SUCCEEDED));
        assertThat(world.workersUsed(), equalTo(Set.of("w2")));
    }

    @Test
    void workerThatFailsEverythingDoesNotUseUpTheAttempts() {
        OwnerWorld world = new OwnerWorld(4);
        world.failing.add("w1");
        world.own();
        for (int number = 0; number < 20; number++) {
            world.submit("00000000000000b" + Integer.toHexString(number), OwnerWorld.step(2));
            world.runtime.advance(150);
        }
        world.runtime.advance(8_000);
        int succeeded = 0;
        for (int number = 0; number < 20; number++) {
            String id = "00000000000000b" + Integer.toHexString(number);
            succeeded += world.state(id) == SubmissionState.SUCCEEDED ? 1 : 0;
        }
        assertThat(succeeded, greaterThan(19));
        assertThat(world.audit.violations(), empty());
    }

    /**
     * Makes a plan of a store of which from some time only new submissions are heard.
     *
     * @param world the world
     * @param millis the time, in milliseconds
     * @return the plan
     */
    private static FatePlan cutFromTheStoreAfter(OwnerWorld world, long millis) {
        return call ->
                world.runtime.nowMillis() >= millis && !call.startsWith("watch open/")
                        ? CallFate.LOST
                        : CallFate.ANSWERED;
    }
}
