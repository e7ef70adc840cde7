package org.damasktiller.scheduler.cell;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.damasktiller.scheduler.crash.CrashHistory;
import org.damasktiller.scheduler.crash.RecordedStart;
import org.damasktiller.scheduler.model.AcceptedSubmission;
import org.damasktiller.scheduler.model.PartsRecord;
import org.damasktiller.scheduler.model.QueueTerms;
import org.damasktiller.scheduler.model.Resources;
import org.damasktiller.scheduler.model.StepSpec;
import org.damasktiller.scheduler.model.Submission;
import org.damasktiller.scheduler.model.SubmissionState;
import org.junit.jupiter.api.Test;

/** Tests what is stored of the progress of large submissions. */
final class ProgressBlocksTest {

    /** The longest value of the store, in bytes. */
    private static final int VALUE_BYTES = 1_048_576;

    /** The run numbers of a late term. */
    private static final int RUN = 2_000_000_001;

    /** Encodes progress. */
    private final ProgressEncoder encoder = new ProgressEncoder(VALUE_BYTES);

    /** The bytes written for each end rose with the number of tasks. */
    @Test
    void bytesWrittenPerEndDoNotGrowWithTheSubmission() {
        long small = bytesPerEnd(1, 100, false);
        long smallFailing = bytesPerEnd(1, 100, true);
        for (int steps : new int[] {1, 4}) {
            long large = bytesPerEnd(steps, 10_000, false);
            long largeFailing = bytesPerEnd(steps, 10_000, true);
            assertThat(large, lessThanOrEqualTo(2 * small));
            assertThat(largeFailing, lessThanOrEqualTo(2 * smallFailing));
        }
    }

    /** Long checkpoints and names made a value too long for the store. */
    @Test
    void longestProgressOfABlockFitsInAValue() {
        Job job = createJob(4, 10_000);
        TaskBlocks blocks = job.blocks;
        for (OccurrenceRecord occurrence : job.occurrences.values()) {
            for (TaskRecord task : occurrence.steps.get(3).allTasks()) {
                task.failedRunNumbers.addAll(Set.of(RUN, RUN + 1, RUN + 2));
                task.highestEndedRunNumber = RUN;
                task.everRan = true;
                task.checkpoint = "c".repeat(20_000);
                task.crashes = new CrashHistory(2, 2, 2);
                task.recordedStart =
                        new RecordedStart(
                                "w".repeat(200),
                                "a".repeat(200),
                                Long.MAX_VALUE,
                                true,
                                true,
                                Long.MAX_VALUE);
            }
        }
        int block = 310;
        assertThat(blocks == null, equalTo(false));
        if (blocks != null) {
            byte[] value = encoder.encode(job, blocks, block, job.partOrWhole());
            assertThat(value.length, lessThanOrEqualTo(VALUE_BYTES));
        }
    }

    /** A finished job with parts in many cells never fitted in a transaction. */
    @Test
    void finishedJobWithPartsInManyCellsFitsInATransaction() {
        Job job = createJob(1, 200);
        job.state = SubmissionState.FAILED;
        Map<String, List<Integer>> steps = new TreeMap<>();
        for (int cell = 1; cell < JobRows.MAX_CELLS; cell++) {
            steps.put("cell" + cell, List.of(0));
        }
        job.parts = new PartsRecord("cell0", steps);
        assertThat(
                JobRows.RESERVED_ROWS + JobRows.countRows(job),
                lessThanOrEqualTo(JobRows.MAX_TRANSACTION_ROWS));
    }

    /** A version counted as stored although some of its blocks were not. */
    @Test
    void versionIsStoredOnceAllOfItsBlocksAre() {
        StoredBlocks stored = new StoredBlocks();
        stored.onLoaded(StoredBlocks.HEADER);
        for (int block = 0; block < 20; block++) {
            stored.onChanged(List.of(block), block + 1);
        }
        assertThat(stored.takeNext().size(), equalTo(12));
        stored.onChanged(List.of(3), 21);
        assertThat(stored.onStored(20), equalTo(12L));
        assertThat(stored.takeNext(), contains(12, 13, 14, 15, 16, 17, 18, 19, 3));
        stored.onDiscarded();
        stored.onChanged(List.of(12), 22);
        assertThat(stored.takeNext(), contains(12, 13, 14, 15, 16, 17, 18, 19, 3));
        assertThat(stored.onStored(22), equalTo(22L));
        assertThat(stored.hasChanges(), equalTo(false));
    }

    /** The header replaced progress in a single value before all of it was in blocks. */
    @Test
    void headerFollowsTheFirstBlocks() {
        StoredBlocks stored = new StoredBlocks();
        stored.onChanged(List.of(0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12), 1);
        assertThat(stored.takeNext().contains(StoredBlocks.HEADER), equalTo(false));
        assertThat(stored.onStored(1), equalTo(0L));
        assertThat(stored.takeNext(), contains(12, StoredBlocks.HEADER));
        assertThat(stored.onStored(1), equalTo(1L));
    }

    /**
     * Lets all tasks of a submission end one after the other, each end stored by itself.
     *
     * @param steps the number of steps
     * @param count the number of tasks of each step
     * @param failing whether a run of each task fails before any task is done
     * @return the mean length of what is stored for an end, in bytes
     */
    private long bytesPerEnd(int steps, int count, boolean failing) {
        Job job = createJob(steps, count);
        List<TaskRecord> tasks =
                job.occurrences.get(0).steps.stream()
                        .flatMap(step -> step.allTasks().stream())
                        .toList();
        long bytes = 0;
        int ends = 0;
        if (failing) {
            for (TaskRecord task : tasks) {
                task.failedRunNumbers.add(1_001);
                task.highestEndedRunNumber = 1_001;
                bytes += store(job, task);
                ends++;
            }
        }
        for (TaskRecord task : tasks) {
            task.highestEndedRunNumber = 1_002;
            task.step.markDone(task);
            bytes += store(job, task);
            ends++;
        }
        return bytes / ends;
    }

    /**
     * Stores a change of a task.
     *
     * @param job the job
     * @param task the task
     * @return the length of all values that are written, in bytes
     */
    private long store(Job job, TaskRecord task) {
        job.onChanged(task);
        if (job.blocks == null) {
            return encoder.encode(job, job.partOrWhole()).length;
        }
        long bytes = 0;
        for (int block : job.storedBlocks.takeNext()) {
            bytes += encoder.encode(job, job.blocks, block, job.partOrWhole()).length;
        }
        job.onStored(job.version);
        assertThat(job.committedVersion, equalTo(job.version));
        return bytes;
    }

    /**
     * Creates the job of a submission.
     *
     * @param steps the number of steps
     * @param count the number of tasks of each step
     * @return the job, without progress
     */
    private static Job createJob(int steps, int count) {
        StepSpec step = StepSpec.builder(count, new Resources(100, 16, 0)).build();
        Submission submission =
                new Submission("00000000000000a1", "", Collections.nCopies(steps, step), 0, 0, 0);
        AcceptedSubmission accepted =
                new AcceptedSubmission(submission, "route", "dispatch", 0, QueueTerms.UNKNOWN);
        return new Job(accepted, 1, 0);
    }
}
