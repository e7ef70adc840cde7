package org.damasktiller.lab.load;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

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
import org.damasktiller.scheduler.model.TaskId;
import org.damasktiller.standin.fleet.RunInvariantChecker;
import org.damasktiller.standin.time.VirtualTimeRuntime;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests when an interruption of a long-running task is a violation. */
class InterruptionCheckerTest {

    private static final String ID = "5c0e7a21d94b36f8";

    private static final TaskId TASK = new TaskId(ID, 0, 0, 0);

    private static final Resources DEMAND = new Resources(1_000, 1_000, 0);

    private static final Route ROUTE =
            new Route("batch", "team.example", "/batch/", "workers", 1, 3, 2, 600, false);

    private static final long STEP_MILLIS = 100;

    private final VirtualTimeRuntime runtime = new VirtualTimeRuntime();

    private final RunInvariantChecker runChecker = new RunInvariantChecker(3);

    private final SubmittedTaskBehaviour taskBehaviour =
            new SubmittedTaskBehaviour(new Well19937c(1), 0);

    private final CallerSimulator callers =
            new CallerSimulator(
                    runtime,
                    new CallerClient(EventLoops.create(), 1_000, InetAddress.getLoopbackAddress()),
                    List.of(new InetSocketAddress(InetAddress.getLoopbackAddress(), 1)),
                    new Well19937c(1),
                    taskBehaviour);

    private int room = 2;

    private final InterruptionChecker checker =
            new InterruptionChecker(
                    runtime,
                    callers,
                    runChecker,
                    taskBehaviour,
                    demand -> demand.equals(DEMAND) ? room : 0);

    private TrackedSubmission tracked;

    @BeforeEach
    void submit() {
        StepSpec step = StepSpec.builder(1, DEMAND).lasting(true).build();
        tracked = callers.send(ROUTE, new Submission(ID, "text", List.of(step), 0, 0, 0));
        tracked.markAccepted();
    }

    @Test
    void reportsATaskThatIsInterruptedForMoreThanNineSeconds() {
        interrupt();
        pass(9_000);
        assertThat(checker.violations(), empty());
        assertThat(checker.longestMillis(), is(9_000L));
        pass(STEP_MILLIS);
        runChecker.started("w1", TASK, 2);
        pass(STEP_MILLIS);
        assertThat(checker.violations(), contains(containsString("interrupted for too long")));
    }

    /** Each interruption counts by itself. */
    @Test
    void reportsNothingIfTheTaskRunsAgainInTime() {
        interrupt();
        pass(8_000);
        runChecker.started("w1", TASK, 2);
        pass(STEP_MILLIS);
        runChecker.ended("w1", TASK, 2, EndKind.STOPPED);
        pass(8_000);
        assertThat(checker.violations(), empty());
    }

    /** The 3 s are allowed from the moment at which there is room for the task twice over. */
    @Test
    void doesNotCountTimeWithoutRoom() {
        interrupt();
        room = 1;
        pass(20_000);
        room = 2;
        pass(3_000);
        assertThat(checker.violations(), empty());
        pass(STEP_MILLIS);
        assertThat(checker.violations(), contains(containsString("interrupted for too long")));
    }

    /** The first 6 s pass also while there is no room. */
    @Test
    void countsTheGracePeriodWithoutRoom() {
        interrupt();
        room = 0;
        pass(5_000);
        room = 2;
        pass(4_000);
        assertThat(checker.violations(), empty());
        pass(STEP_MILLIS);
        assertThat(checker.violations(), contains(containsString("interrupted for too long")));
    }

    @Test
    void reportsNoTaskThatHasNotRunOrIsCancelled() {
        pass(20_000);
        assertThat(checker.violations(), empty());
        interrupt();
        tracked.markCancelRequested();
        pass(20_000);
        assertThat(checker.violations(), empty());
    }

    /** Starts and ends a run, and has the interruption seen. */
    private void interrupt() {
        runChecker.started("w0", TASK, 1);
        runChecker.ended("w0", TASK, 1, EndKind.STOPPED);
        checker.check();
    }

    /**
     * Lets time pass with regular checks.
     *
     * @param millis the time, in milliseconds
     */
    private void pass(long millis) {
        for (long passed = 0; passed < millis; passed += STEP_MILLIS) {
            runtime.advance(STEP_MILLIS);
            checker.check();
        }
    }
}
