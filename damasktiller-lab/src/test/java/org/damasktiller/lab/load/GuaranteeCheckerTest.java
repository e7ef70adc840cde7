package org.damasktiller.lab.load;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import io.activej.eventloop.Eventloop;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import org.apache.commons.math3.random.Well19937c;
import org.damasktiller.platform.emulator.CallerClient;
import org.damasktiller.platform.http.EventLoops;
import org.damasktiller.scheduler.model.EndKind;
import org.damasktiller.scheduler.model.Resources;
import org.damasktiller.scheduler.model.Route;
import org.damasktiller.scheduler.model.StepSpec;
import org.damasktiller.scheduler.model.Submission;
import org.damasktiller.scheduler.model.SubmissionState;
import org.damasktiller.scheduler.model.TaskId;
import org.damasktiller.standin.fleet.RunInvariantChecker;
import org.damasktiller.standin.time.VirtualTimeRuntime;
import org.junit.jupiter.api.Test;

/** Tests that each violated guarantee to callers is reported. */
class GuaranteeCheckerTest {

    private static final String ID = "5c0e7a21d94b36f8";

    private static final TaskId TASK = new TaskId(ID, 0, 0, 0);

    private static final Route ROUTE =
            new Route("batch", "team.example", "/batch/", "workers", 1, 3, 2, 600, false);

    private final RunInvariantChecker runChecker = new RunInvariantChecker(3);

    private final Eventloop eventloop = EventLoops.create();

    private final SubmittedTaskBehaviour taskBehaviour =
            new SubmittedTaskBehaviour(new Well19937c(1), 0);

    private final CallerSimulator callers =
            new CallerSimulator(
                    new VirtualTimeRuntime(),
                    new CallerClient(eventloop, 1_000, InetAddress.getLoopbackAddress()),
                    List.of(new InetSocketAddress(InetAddress.getLoopbackAddress(), 1)),
                    new Well19937c(1),
                    taskBehaviour);

    private final GuaranteeChecker checker =
            new GuaranteeChecker(callers, runChecker, taskBehaviour);

    @Test
    void reportsNothingForSuccessfulWork() {
        TrackedSubmission tracked = send(false);
        tracked.markAccepted();
        runChecker.started("w0", TASK, 1);
        runChecker.ended("w0", TASK, 1, EndKind.DONE);
        tracked.updateState(SubmissionState.SUCCEEDED);
        assertThat(checker.violations(), empty());
        assertThat(checker.unfinished(), empty());
    }

    @Test
    void findsConcurrentRunsOfATask() {
        runChecker.started("w0", TASK, 1);
        runChecker.started("w1", TASK, 2);
        assertThat(checker.violations(), contains(containsString("two runs")));
    }

    @Test
    void findsAStartAfterAnAcknowledgedEnd() {
        runChecker.started("w0", TASK, 1);
        runChecker.ended("w0", TASK, 1, EndKind.DONE);
        runChecker.acknowledged("w0", TASK, 1, EndKind.DONE);
        runChecker.started("w1", TASK, 2);
        assertThat(checker.violations(), contains(containsString("after its end")));
    }

    @Test
    void findsAStartOfARefusedSubmission() {
        send(false).markGivenUp();
        runChecker.started("w0", TASK, 1);
        assertThat(checker.violations(), contains(containsString("each try was refused")));
    }

    @Test
    void findsAStartOfATaskThatWasNeverSubmitted() {
        assertThat(taskBehaviour.reserved(TASK), is(Resources.NONE));
        assertThat(checker.violations(), contains(containsString("never submitted")));
    }

    @Test
    void findsReportedStatesThatAreWrong() {
        TrackedSubmission tracked = send(false);
        tracked.markAccepted();
        tracked.updateState(SubmissionState.SUCCEEDED);
        assertThat(checker.violations(), contains(containsString("before its tasks were done")));
        tracked.updateState(SubmissionState.FAILED);
        assertThat(checker.violations(), contains(containsString("attempts")));
        tracked.updateState(SubmissionState.CANCELLED);
        assertThat(checker.violations(), contains(containsString("without being asked")));
    }

    @Test
    void findsUnfinishedWork() {
        TrackedSubmission tracked = send(false);
        tracked.markAccepted();
        assertThat(checker.unfinished(), contains(containsString("not finished")));
        tracked.markCancelRequested();
        runChecker.started("w0", TASK, 1);
        assertThat(checker.unfinished(), contains(containsString("after its cancelling")));
    }

    @Test
    void findsLongRunningTasksThatDoNotRun() {
        TrackedSubmission tracked = send(true);
        tracked.markAccepted();
        assertThat(checker.unfinished(), contains(containsString("not running")));
        runChecker.started("w0", TASK, 1);
        assertThat(checker.unfinished(), empty());
    }

    private TrackedSubmission send(boolean lasting) {
        StepSpec step = StepSpec.builder(1, new Resources(1, 1, 0)).lasting(lasting).build();
        return callers.send(ROUTE, new Submission(ID, "text", List.of(step), 0, 0, 0));
    }
}
