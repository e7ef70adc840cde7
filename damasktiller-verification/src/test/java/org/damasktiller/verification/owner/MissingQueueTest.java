package org.damasktiller.verification.owner;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;

import java.util.Set;
import org.damasktiller.scheduler.model.SubmissionState;
import org.damasktiller.scheduler.model.TaskId;
import org.damasktiller.verification.owner.CellSimulation.OwnerProcess;
import org.junit.jupiter.api.Test;

/** Tests the submissions of a queue that versions of the manifest lack or change. */
final class MissingQueueTest {

    /** The identifier of the submission. */
    private static final String SUBMISSION = "00000000000000a7";

    /** Its only task. */
    private static final TaskId TASK = new TaskId(SUBMISSION, 0, 0, 0);

    /** The time in which the submission is over, in milliseconds. */
    private static final long OVER_MILLIS = 20_000;

    /** The cell. */
    private final CellSimulation simulation = new CellSimulation(4);

    /**
     * A submission was given up after two of three attempts while the manifest lacked its queue.
     */
    @Test
    void submissionKeepsItsAttemptsWhileTheManifestLacksItsQueue() {
        OwnerProcess owner = submitFailing();
        removeQueue(owner);
        letRunsFail(CellSimulation.MAX_ATTEMPTS - 1);
        assertOver(SubmissionState.SUCCEEDED, CellSimulation.MAX_ATTEMPTS);
    }

    /** The next owner has never seen the queue. */
    @Test
    void submissionKeepsItsAttemptsUnderAnOwnerWithoutItsQueue() {
        OwnerProcess owner = submitFailing();
        removeQueue(owner);
        owner.kill();
        simulation.startOwner();
        letRunsFail(CellSimulation.MAX_ATTEMPTS - 1);
        assertOver(SubmissionState.SUCCEEDED, CellSimulation.MAX_ATTEMPTS);
    }

    /** A task of a queue with a single attempt was started again while the queue was missing. */
    @Test
    void taskOfAQueueWithOneAttemptIsNotStartedAgainWhileTheQueueIsMissing() {
        simulation.maxAttempts = 1;
        OwnerProcess owner = submitFailing();
        removeQueue(owner);
        assertOver(SubmissionState.FAILED, 1);
    }

    /** The last version that had the queue holds while the queue is missing. */
    @Test
    void submissionKeepsTheAttemptsOfTheLastVersionThatHadItsQueue() {
        OwnerProcess owner = submitFailing();
        simulation.maxAttempts = 1;
        simulation.publishManifest(owner);
        removeQueue(owner);
        assertOver(SubmissionState.FAILED, 1);
    }

    /** An owner that has only an older version took the attempts of that one. */
    @Test
    void submissionKeepsTheAttemptsOfANewerVersionThanThatOfItsOwner() {
        startOwner();
        simulation.maxAttempts = 1;
        simulation.manifestVersion++;
        submitFailingWork();
        assertOver(SubmissionState.FAILED, 1);
    }

    /** Tasks of a queue that needs advice started without any while the queue was missing. */
    @Test
    void taskOfAQueueThatNeedsAdviceStartsOnlyWithItWhileTheQueueIsMissing() {
        simulation.adviceNeeded = true;
        simulation.advisedWorkers.add("w3");
        OwnerProcess owner = startOwner();
        simulation.submit(SUBMISSION, CellSimulation.shortStep(1));
        removeQueue(owner);
        assertOver(SubmissionState.SUCCEEDED, 1);
        assertThat(simulation.workersUsed(), equalTo(Set.of("w3")));
    }

    /**
     * Starts an owner and the submission, whose runs fail.
     *
     * @return the process of the owner
     */
    private OwnerProcess submitFailing() {
        OwnerProcess owner = startOwner();
        submitFailingWork();
        return owner;
    }

    /**
     * Starts an owner, and waits until it may start tasks.
     *
     * @return the process of the owner
     */
    private OwnerProcess startOwner() {
        OwnerProcess owner = simulation.startOwner();
        simulation.runtime.advance(1_000);
        return owner;
    }

    /** Submits a task whose runs fail, and waits until it has started. */
    private void submitFailingWork() {
        simulation.failingSubmissions.add(SUBMISSION);
        simulation.submit(SUBMISSION, CellSimulation.shortStep(1));
        while (simulation.invariants.startCount(TASK) == 0) {
            simulation.runtime.advance(10);
        }
    }

    /**
     * Publishes a version of the manifest that lacks the queue.
     *
     * @param owner the process of the owner
     */
    private void removeQueue(OwnerProcess owner) {
        simulation.queueMissing = true;
        simulation.publishManifest(owner);
    }

    /**
     * Lets some runs fail, and later ones succeed.
     *
     * @param count the number of runs
     */
    private void letRunsFail(int count) {
        long endMillis = simulation.runtime.nowMillis() + OVER_MILLIS;
        while (simulation.invariants.startCount(TASK) <= count
                && simulation.runtime.nowMillis() < endMillis) {
            simulation.runtime.advance(10);
        }
        simulation.failingSubmissions.clear();
    }

    /**
     * Asserts that the submission is over after some runs of its task.
     *
     * @param state the state of the submission
     * @param runCount the number of runs
     */
    private void assertOver(SubmissionState state, int runCount) {
        simulation.runtime.advance(OVER_MILLIS);
        assertThat(simulation.invariants.violations(), empty());
        assertThat(simulation.submissionState(SUBMISSION), equalTo(state));
        assertThat(simulation.invariants.startCount(TASK), equalTo(runCount));
    }
}
