package org.damasktiller.authority.cell;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.io.IOException;
import org.damasktiller.authority.commit.LogEntry;
import org.damasktiller.error.DamasktillerException;
import org.damasktiller.error.ErrorCode;
import org.damasktiller.error.Outcome;
import org.damasktiller.error.Step;
import org.damasktiller.identity.JobId;
import org.damasktiller.identity.KindName;
import org.damasktiller.identity.RequestKey;
import org.damasktiller.identity.TenantName;
import org.damasktiller.identity.WorkerId;
import org.damasktiller.resource.Resources;
import org.damasktiller.worker.Checkpoint;
import org.damasktiller.worker.TaskSpec;
import org.msgpack.jackson.dataformat.MessagePackMapper;

/** Turns job records into log entries and back. */
final class JobCodec {

    /** The mapper. */
    private final ObjectMapper mapper;

    /** Creates a codec that stores an enum constant by its index. */
    JobCodec() {
        mapper = new MessagePackMapper();
        mapper.enable(SerializationFeature.WRITE_ENUMS_USING_INDEX);
    }

    /**
     * Encodes a record.
     *
     * @param job the record
     * @return the entry
     */
    LogEntry encode(JobRecord job) {
        JobSubmission submission = job.submission();
        TaskSpec task = submission.task();
        EncodedJob encoded =
                new EncodedJob(
                        submission.key().value(),
                        submission.tenant().value(),
                        submission.workClass(),
                        submission.repeat(),
                        task.kind().value(),
                        task.resources().milliProcessors(),
                        task.resources().memoryMegabytes(),
                        task.resources().accelerators(),
                        task.runTimeMillis(),
                        task.payload(),
                        job.state(),
                        job.worker().value(),
                        job.binding().incarnation(),
                        job.binding().attempt(),
                        job.checkpoint() == null ? null : job.checkpoint().data(),
                        job.begun(),
                        job.failures(),
                        job.result(),
                        job.changedMillis());
        try {
            return new LogEntry(job.id().value(), mapper.writeValueAsBytes(encoded));
        } catch (JsonProcessingException error) {
            throw new IllegalStateException("job cannot be encoded", error);
        }
    }

    /**
     * Decodes an entry.
     *
     * @param entry the entry
     * @return the record
     */
    JobRecord decode(LogEntry entry) {
        EncodedJob job = read(entry);
        String checkpoint = job.checkpoint();
        return new JobRecord(
                new JobId(entry.key()),
                submission(job),
                job.state(),
                new Binding(new WorkerId(job.worker()), job.incarnation(), job.attempt()),
                checkpoint == null ? null : new Checkpoint(checkpoint),
                job.begun(),
                job.failures(),
                job.result(),
                job.changedMillis());
    }

    /**
     * Reads the bytes of an entry.
     *
     * @param entry the entry
     * @return the job
     */
    private EncodedJob read(LogEntry entry) {
        try {
            return mapper.readValue(entry.value(), EncodedJob.class);
        } catch (IOException error) {
            throw new DamasktillerException(
                    ErrorCode.PROTOCOL_ERROR,
                    Step.RECOVER,
                    "store",
                    Outcome.NOT_RUN,
                    "the entry of job " + entry.key() + " cannot be decoded",
                    error);
        }
    }

    /**
     * Makes the submission of a stored job.
     *
     * @param job the job
     * @return the submission
     */
    private static JobSubmission submission(EncodedJob job) {
        Resources resources =
                new Resources(job.milliProcessors(), job.memoryMegabytes(), job.accelerators());
        return new JobSubmission(
                new RequestKey(job.key()),
                new TenantName(job.tenant()),
                job.workClass(),
                job.repeat(),
                new TaskSpec(
                        new KindName(job.kind()), resources, job.runTimeMillis(), job.payload()));
    }
}
