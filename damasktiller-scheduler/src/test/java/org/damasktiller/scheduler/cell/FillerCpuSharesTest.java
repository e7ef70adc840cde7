package org.damasktiller.scheduler.cell;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import org.damasktiller.scheduler.model.AcceptedSubmission;
import org.damasktiller.scheduler.model.QueueTerms;
import org.damasktiller.scheduler.model.Resources;
import org.damasktiller.scheduler.model.StepSpec;
import org.damasktiller.scheduler.model.Submission;
import org.damasktiller.scheduler.model.WorkerEntry;
import org.junit.jupiter.api.Test;

/** Tests which CPU the fillers of a worker count as using. */
final class FillerCpuSharesTest {

    /** A worker with eight cores. */
    private final WorkerRecord worker =
            new WorkerRecord(
                    new WorkerEntry(
                            "w0",
                            "dispatch",
                            new InetSocketAddress(InetAddress.getLoopbackAddress(), 1),
                            "zone-1",
                            false,
                            0,
                            new Resources(8_000, 8_000, 0),
                            List.of(),
                            1,
                            0),
                    0);

    /**
     * An owner adopts the fillers of its predecessor without knowing their limits. If they counted
     * as paused, it would learn from their harm that serving tasks are slow by themselves.
     */
    @Test
    void fillerOfUnknownLimitCountsAsRunningAtFullSpeed() {
        RunRecord filler = addFiller();
        filler.cpuLimitPercent = RunRecord.UNKNOWN;
        assertThat(FillerCpuShares.current(worker), equalTo(Map.of("image", 0.25)));
    }

    @Test
    void confirmedLimitCounts() {
        RunRecord filler = addFiller();
        filler.cpuLimitPercent = 50;
        assertThat(FillerCpuShares.current(worker), equalTo(Map.of("image", 0.125)));
        filler.cpuLimitPercent = 0;
        assertThat(FillerCpuShares.current(worker), equalTo(Map.of()));
    }

    @Test
    void sumsFollowTheRunsOfTheWorker() {
        RunRecord filler = addFiller();
        assertThat(worker.fillerMillicores(), equalTo(2_000L));
        assertThat(worker.idleMillicores(), equalTo(8_000L));
        worker.removeRun(filler);
        assertThat(worker.fillerMillicores(), equalTo(0L));
    }

    /**
     * Adds a filler of two cores to the worker.
     *
     * @return its run
     */
    private RunRecord addFiller() {
        StepSpec spec =
                StepSpec.builder(1, new Resources(2_000, 100, 0))
                        .image("image")
                        .filling(true)
                        .build();
        Submission submission = new Submission("00000000000000a1", "", List.of(spec), 0, 0, 0);
        Job job =
                new Job(
                        new AcceptedSubmission(
                                submission, "route", "dispatch", 0, QueueTerms.UNKNOWN),
                        1,
                        0);
        TaskRecord task = job.beginOccurrence(0).steps.get(0).task(0);
        RunRecord run =
                new RunRecord(task.id, 1, worker, task, spec.reserved(), RunPhase.RUNNING, 0);
        worker.addRun(run);
        return run;
    }
}
