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

/** Tests the owner of a cell in scenarios with single failures of owners, workers and the store. */
final class OwnerTest {

    /** The identifier of the main submission of each test. */
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
     * The first owner cannot commit, so the ends of failed runs stay unacknowledged on the four
     * workers. The next owner reads them in any order. It must count all of them and must not start
     * the task again once its attempts are used up.
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
     * A part of each worker is reserved for urgent work and closed to new long-running tasks. A
     * long-running task that has run before must be able to use it, even if its worker is lost
     * during a change of the owner.
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

    /**
     * Compacting the store forces new listings, which may be older than the removal of a completed
     * job. Such a listing must not make the owner start the job again.
     */
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
     * An unreachable worker keeps running its tasks until its lease expires. A second change of the
     * owner must not make the cell forget that worker, or its tasks would run twice.
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
     * An owner resumes after a freeze and can still reach a worker that its successor does not know
     * and that has not seen the successor's fencing token. It must not extend that worker's lease
     * beyond the time for which the successor waits.
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
     * An owner resumes after a freeze and reads a submission that was accepted after its
     * successor's term began. It must not start it on a worker that has not seen the successor's
     * fencing token.
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
     * A worker restarts and executes a start before the owner learns of the restart. If the next
     * heartbeat acknowledged a sequence number of the previous boot, the worker would discard an
     * ended run that the owner has not seen, and the task would run again. Found by soak seed 235.
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

    /**
     * An owner whose calls the store refuses must give up when a worker fences it, rather than keep
     * sending calls that workers refuse.
     */
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
     * Creates a plan that from some time on loses all calls to the store, except watches for new
     * submissions.
     *
     * @param world the simulation, by whose clock the plan decides
     * @param millis the virtual time from which calls are lost, in milliseconds
     * @return the plan
     */
    private static FatePlan cutFromTheStoreAfter(OwnerWorld world, long millis) {
        return call ->
                world.runtime.nowMillis() >= millis && !call.startsWith("watch open/")
                        ? CallFate.LOST
                        : CallFate.ANSWERED;
    }
}
