package org.damasktiller.verification.owner;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;

import java.util.ArrayList;
import java.util.List;
import org.damasktiller.scheduler.model.Resources;
import org.damasktiller.scheduler.model.StepSpec;
import org.damasktiller.scheduler.model.SubmissionState;
import org.damasktiller.scheduler.model.TaskId;
import org.junit.jupiter.api.Test;

/**
 * Replays runs that fail on workers which host long-running tasks: of submissions that can never be
 * done, which count on the first worker that fails them, or on workers that recover.
 */
final class ProbationTest {

    /** The number of workers. */
    private static final int WORKERS = 8;

    /** The identifier of the submission whose tasks run on all workers. */
    private static final String LONG_RUNNING = "00000000000000f1";

    /** A step with a long-running task for each worker, which needs a quarter of it. */
    private static final StepSpec ON_EACH_WORKER =
            StepSpec.builder(WORKERS, new Resources(2_000, 1_000, 0))
                    .lasting(true)
                    .maximumPerWorker(1)
                    .build();

    /**
     * The longest time that a task may wait while half of the cell is free, in milliseconds; given
     * by the platform's documentation.
     */
    private static final long MAX_WAIT_MILLIS = 3_000;

    /**
     * The time in which a worker that fails everything is found out, and the runs end that have
     * started there before, in milliseconds.
     */
    private static final long LEARNING_MILLIS = 3_000;

    /** The cell. */
    private final CellSimulation simulation = new CellSimulation(WORKERS);

    /** The number of short submissions sent. */
    private int submissionCount;

    /** Workers that host a long-running task stayed excluded after such submissions. */
    @Test
    void soundTasksStartOnWorkersThatHostLongRunningTasksAfterHopelessSubmissions() {
        failSubmissions();
        assertThat(lateTasks(submitSoundTasks()), empty());
        assertThat(simulation.invariants.violations(), empty());
    }

    /** As above, with workers that fail all runs for a while. */
    @Test
    void soundTasksStartOnWorkersThatHostLongRunningTasksOnceTheyHaveRecovered() {
        hostLongRunningTasks();
        simulation.failingWorkers.addAll(simulation.workers.keySet());
        for (int number = 0; number < 60; number++) {
            submit();
            simulation.runtime.advance(500);
        }
        simulation.failingWorkers.clear();
        simulation.runtime.advance(10_000);
        assertThat(lateTasks(submitSoundTasks()), empty());
        assertThat(simulation.invariants.violations(), empty());
    }

    /** As above, with long-running tasks that wait. */
    @Test
    void longRunningTasksStartBesideOthersAfterHopelessSubmissions() {
        failSubmissions();
        assertThat(lateTasks(submitLongRunningTasks()), empty());
        assertThat(simulation.invariants.violations(), empty());
    }

    /** The other workers have a task of the step; a suspect one was excluded for up to 8 s. */
    @Test
    void taskThatOnlySuspectWorkersCanRunStartsInTime() {
        simulation.startOwner();
        simulation.failingWorkers.addAll(List.of("w0", "w1"));
        while (suspicionCount("w0") < 4 || suspicionCount("w1") < 4) {
            submit();
            simulation.runtime.advance(20);
        }
        simulation.failingWorkers.clear();
        simulation.runtime.advance(500);
        assertThat(lateTasks(submitLongRunningTasks()), empty());
        assertThat(simulation.invariants.violations(), empty());
    }

    /** A worker on probation was excluded for as long as a task lasted that it ran. */
    @Test
    void tasksStartBesideALongRunOnTheOnlyWorkerThatCanRunThem() {
        simulation.labels.put("w0", List.of("special"));
        simulation.register("w0", false);
        simulation.startOwner();
        simulation.failingWorkers.add("w0");
        while (suspicionCount("w0") < 1) {
            submit();
            simulation.runtime.advance(20);
        }
        simulation.failingWorkers.clear();
        simulation.taskDurationMillis = 20_000;
        List<TaskId> tasks = new ArrayList<>();
        for (int number = 0; number < 2; number++) {
            String id = String.format("%016x", 0x8000 + number);
            simulation.submit(
                    id,
                    StepSpec.builder(1, new Resources(500, 100, 0))
                            .requiredLabel("special")
                            .build());
            tasks.add(new TaskId(id, 0, 0, 0));
            simulation.runtime.advance(MAX_WAIT_MILLIS);
        }
        assertThat(lateTasks(tasks), empty());
        assertThat(simulation.invariants.violations(), empty());
    }

    /** A task must not use up its attempts on the only worker that is left, which fails it. */
    @Test
    void taskThatFailedOnASuspectWorkerKeepsItsOtherAttempts() {
        simulation.startOwner();
        simulation.failingWorkers.add("w0");
        while (suspicionCount("w0") < 4) {
            submit();
            simulation.runtime.advance(20);
        }
        simulation.runtime.advance(500);
        String id = "00000000000000f3";
        simulation.taskDurationMillis = 6_000;
        simulation.submit(
                id,
                StepSpec.builder(WORKERS, new Resources(2_000, 1_000, 0))
                        .maximumPerWorker(1)
                        .build());
        simulation.runtime.advance(1_000);
        simulation.taskDurationMillis = 100;
        simulation.runtime.advance(10_000);
        assertThat(simulation.submissionState(id), equalTo(SubmissionState.SUCCEEDED));
        assertThat(simulation.invariants.violations(), empty());
    }

    /** A worker that never recovers must not get more than one start to show that. */
    @Test
    void workerThatGoesOnFailingBesideALongRunningTaskGetsOneProbeAtATime() {
        hostLongRunningTasks();
        simulation.failingWorkers.add("w0");
        List<TaskId> tasks = new ArrayList<>();
        int mostRuns = 0;
        for (long elapsed = 0; elapsed < 15_000; elapsed += 100) {
            if (elapsed % 500 == 0) {
                for (int number = 0; number < 24; number++) {
                    tasks.add(submit());
                }
            }
            simulation.runtime.advance(100);
            if (elapsed >= LEARNING_MILLIS) {
                int runs = simulation.workers.get("w0").activeRunCount();
                mostRuns = Math.max(mostRuns, runs);
            }
        }
        simulation.runtime.advance(5_000);
        assertThat(mostRuns, equalTo(2));
        for (TaskId task : tasks) {
            assertThat(
                    simulation.submissionState(task.submission()),
                    equalTo(SubmissionState.SUCCEEDED));
        }
    }

    /** Starts a long-running task on each worker. */
    private void hostLongRunningTasks() {
        simulation.startOwner();
        simulation.submit(LONG_RUNNING, ON_EACH_WORKER);
        simulation.runtime.advance(3_000);
    }

    /** Starts a long-running task on each worker, then sends submissions that can't be done. */
    private void failSubmissions() {
        hostLongRunningTasks();
        for (int number = 0; number < 60; number++) {
            simulation.failingSubmissions.add(submit().submission());
            simulation.runtime.advance(500);
        }
        simulation.runtime.advance(10_000);
    }

    /**
     * Submits short tasks that need half of the free room together.
     *
     * @return the tasks, of which the last was submitted the longest allowed wait ago
     */
    private List<TaskId> submitSoundTasks() {
        List<TaskId> tasks = new ArrayList<>();
        for (int number = 0; number < 12; number++) {
            tasks.add(submit());
        }
        simulation.runtime.advance(MAX_WAIT_MILLIS);
        return tasks;
    }

    /**
     * Submits a long-running task for each worker.
     *
     * @return the tasks, which were submitted the longest allowed wait ago
     */
    private List<TaskId> submitLongRunningTasks() {
        String id = "00000000000000f2";
        simulation.submit(id, ON_EACH_WORKER);
        simulation.runtime.advance(MAX_WAIT_MILLIS);
        List<TaskId> tasks = new ArrayList<>();
        for (int index = 0; index < WORKERS; index++) {
            tasks.add(new TaskId(id, 0, 0, index));
        }
        return tasks;
    }

    /**
     * Counts how often a worker has become suspect.
     *
     * @param worker the identifier of the worker
     * @return the number of suspicions
     */
    private long suspicionCount(String worker) {
        return simulation.logLines.stream()
                .filter(line -> line.contains(" worker.suspect [worker, " + worker + ","))
                .count();
    }

    /**
     * Lists the tasks that have not started.
     *
     * @param tasks the tasks
     * @return those that no worker has started
     */
    private List<TaskId> lateTasks(List<TaskId> tasks) {
        return tasks.stream().filter(task -> simulation.invariants.startCount(task) == 0).toList();
    }

    /**
     * Submits a step of one short task.
     *
     * @return the task
     */
    private TaskId submit() {
        String id = String.format("%016x", 0x7000 + submissionCount);
        submissionCount++;
        simulation.submit(id, CellSimulation.shortStep(1));
        return new TaskId(id, 0, 0, 0);
    }
}
