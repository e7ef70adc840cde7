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

/** Tests that each broken promise is found. */
class PromiseCheckTest {

    private static final String ID = "5c0e7a21d94b36f8";

    private static final TaskId TASK = new TaskId(ID, 0, 0, 0);

    private static final Route ROUTE =
            new Route("batch", "team.example", "/batch/", "workers", 1, 3, 2, 600, false);

    private final RunInvariantChecker audit = new RunInvariantChecker(3);

    private final Eventloop eventloop = EventLoops.create();

    private final SubmittedWork work = new SubmittedWork(new Well19937c(1), 0);

    private final CallerLoad load =
            new CallerLoad(
                    new VirtualTimeRuntime(),
                    new CallerClient(eventloop, 1_000),
                    List.of(new InetSocketAddress(InetAddress.getLoopbackAddress(), 1)),
                    new Well19937c(1),
                    work);

    private final PromiseCheck check = new PromiseCheck(load, audit, work);

    @Test
    void nothingIsFoundOfWorkThatWentWell() {
        WorkItem item = item(false);
        item.accept();
        audit.started("w0", TASK, 1);
        audit.ended("w0", TASK, 1, EndKind.DONE);
        item.tell(SubmissionState.SUCCEEDED);
        assertThat(check.violations(), empty());
        assertThat(check.unfinished(), empty());
    }

    @Test
    void findsTwoRunsAtATime() {
        audit.started("w0", TASK, 1);
        audit.started("w1", TASK, 2);
        assertThat(check.violations(), contains(containsString("two runs")));
    }

    @Test
    void findsAStartAfterAnAcknowledgedEnd() {
        audit.started("w0", TASK, 1);
        audit.ended("w0", TASK, 1, EndKind.DONE);
        audit.acknowledged("w0", TASK, 1, EndKind.DONE);
        audit.started("w1", TASK, 2);
        assertThat(check.violations(), contains(containsString("after its end")));
    }

    @Test
    void findsARefusalThatWasNotTrue() {
        item(false).giveUp();
        audit.started("w0", TASK, 1);
        assertThat(check.violations(), contains(containsString("each try was refused")));
    }

    @Test
    void findsATaskThatNobodySubmitted() {
        assertThat(work.reserved(TASK), is(Resources.NONE));
        assertThat(check.violations(), contains(containsString("never submitted")));
    }

    @Test
    void findsAStateThatIsNotTrue() {
        WorkItem item = item(false);
        item.accept();
        item.tell(SubmissionState.SUCCEEDED);
        assertThat(check.violations(), contains(containsString("before its tasks were done")));
        item.tell(SubmissionState.FAILED);
        assertThat(check.violations(), contains(containsString("attempts")));
        item.tell(SubmissionState.CANCELLED);
        assertThat(check.violations(), contains(containsString("without being asked")));
    }

    @Test
    void findsWorkThatIsNotFinished() {
        WorkItem item = item(false);
        item.accept();
        assertThat(check.unfinished(), contains(containsString("not finished")));
        item.askCancel();
        audit.started("w0", TASK, 1);
        assertThat(check.unfinished(), contains(containsString("after its cancelling")));
    }

    @Test
    void findsLastingTasksThatAreAway() {
        WorkItem item = item(true);
        item.accept();
        assertThat(check.unfinished(), contains(containsString("not at work")));
        audit.started("w0", TASK, 1);
        assertThat(check.unfinished(), empty());
    }

    private WorkItem item(boolean lasting) {
        StepSpec step = StepSpec.builder(1, new Resources(1, 1, 0)).lasting(lasting).build();
        return load.send(ROUTE, new Submission(ID, "text", List.of(step), 0, 0, 0));
    }
}
