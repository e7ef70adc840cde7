package org.damasktiller.authority.cell;

import java.util.Collection;
import java.util.Optional;
import org.damasktiller.error.ErrorCode;
import org.damasktiller.error.Outcome;
import org.damasktiller.resource.Resources;
import org.damasktiller.vm.VmState;

/** Refuses a submission early, before anything is written or started for it. */
final class Admission {

    /** When to try again after a refusal for lack of room or of the store, in milliseconds. */
    static final long RETRY_AFTER_MILLIS = 2_000;

    /** The largest input of a task, in characters. */
    private static final int MAXIMUM_PAYLOAD_CHARACTERS = 16_384;

    /** Prevents instantiation. */
    private Admission() {}

    /**
     * Checks a submission against the state of the owner.
     *
     * @param submission the job
     * @param term the term of the owner
     * @param maximumJobs how many jobs are kept at most
     * @param storeFailing whether the store does not answer
     * @param lanes the workers
     * @return the refusal, or empty if a place may be chosen
     */
    static Optional<JobRefusal> check(
            JobSubmission submission,
            OwnerTerm term,
            int maximumJobs,
            boolean storeFailing,
            Collection<WorkerLane> lanes) {
        if (submission.task().payload().length() > MAXIMUM_PAYLOAD_CHARACTERS) {
            return Optional.of(
                    refusal(
                            ErrorCode.BODY_TOO_LARGE,
                            "the payload has more than "
                                    + MAXIMUM_PAYLOAD_CHARACTERS
                                    + " characters",
                            0));
        }
        if (storeFailing) {
            return Optional.of(
                    refusal(
                            ErrorCode.STORE_UNAVAILABLE,
                            "the key-value service does not answer",
                            RETRY_AFTER_MILLIS));
        }
        if (term.book().size() >= maximumJobs) {
            return Optional.of(
                    refusal(
                            ErrorCode.OVERLOADED,
                            "the cell keeps " + maximumJobs + " jobs already",
                            RETRY_AFTER_MILLIS));
        }
        return fits(submission.task().resources(), lanes);
    }

    /**
     * Makes a refusal of a job that was not run.
     *
     * @param code the code
     * @param message why
     * @param retryAfterMillis when to try again, in milliseconds, or zero for never
     * @return the refusal
     */
    static JobRefusal refusal(ErrorCode code, String message, long retryAfterMillis) {
        return new JobRefusal(code, Outcome.NOT_RUN, message, retryAfterMillis);
    }

    /**
     * Checks whether any worker can ever run a job.
     *
     * @param wanted what the job wants
     * @param lanes the workers
     * @return the refusal, or empty if one can
     */
    private static Optional<JobRefusal> fits(Resources wanted, Collection<WorkerLane> lanes) {
        boolean unknown = lanes.isEmpty();
        for (WorkerLane lane : lanes) {
            if (lane.listed == VmState.GONE) {
                continue;
            }
            if (lane.capacity.equals(Resources.NONE)) {
                unknown = true;
            } else if (wanted.fitsWithin(lane.capacity)) {
                return Optional.empty();
            }
        }
        if (unknown) {
            return Optional.of(
                    refusal(
                            ErrorCode.OVERLOADED,
                            "the workers of the cell are not known yet",
                            RETRY_AFTER_MILLIS));
        }
        return Optional.of(
                refusal(ErrorCode.NEVER_RUNNABLE, "no worker of the cell has " + wanted, 0));
    }
}
