package org.damasktiller.verification.fault;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.damasktiller.authority.cell.Cancel;
import org.damasktiller.authority.cell.JobAnswer;
import org.damasktiller.authority.cell.JobRefusal;
import org.damasktiller.authority.cell.JobReply;
import org.damasktiller.authority.cell.JobStatus;
import org.damasktiller.authority.cell.JobSubmission;
import org.damasktiller.authority.cell.Query;
import org.damasktiller.authority.cell.Submit;
import org.damasktiller.error.ErrorCode;
import org.damasktiller.error.Outcome;
import org.damasktiller.identity.JobId;
import org.damasktiller.standin.cell.CellHarness;
import org.damasktiller.standin.cell.OwnerProcess;
import org.jspecify.annotations.Nullable;

/**
 * Submits one job and asks for it until it has ended. A submission without an answer is repeated
 * with the same key. A caller that gives up does so only if all its submissions so far were refused
 * as not run.
 */
final class SimulatedCaller {

    private static final long ASK_MILLIS = 1_000;

    private final CellHarness harness;

    private final JobSubmission submission;

    private final boolean givesUp;

    private final Set<JobId> seen = new HashSet<>();

    private int unanswered;

    private boolean cancelWanted;

    private boolean cancelAnswered;

    private boolean gaveUp;

    private @Nullable JobStatus last;

    private @Nullable ErrorCode lastError;

    SimulatedCaller(CellHarness harness, JobSubmission submission, boolean givesUp) {
        this.harness = harness;
        this.submission = submission;
        this.givesUp = givesUp;
    }

    void start(long delayMillis) {
        harness.clock().after(delayMillis, this::ask);
    }

    void cancelAfter(long delayMillis) {
        harness.clock().after(delayMillis, () -> cancelWanted = true);
    }

    boolean done() {
        JobStatus status = last;
        return gaveUp || (status != null && status.state().ended());
    }

    boolean gaveUp() {
        return gaveUp;
    }

    boolean cancelWanted() {
        return cancelWanted;
    }

    JobSubmission submission() {
        return submission;
    }

    Set<JobId> seen() {
        return seen;
    }

    Optional<JobStatus> last() {
        return Optional.ofNullable(last);
    }

    String describe() {
        return submission.key() + " last " + last + " error " + lastError + " gave up " + gaveUp;
    }

    private void ask() {
        if (done()) {
            return;
        }
        harness.active().ifPresent(this::askOwner);
        harness.clock().after(ASK_MILLIS, this::ask);
    }

    private void askOwner(OwnerProcess owner) {
        JobStatus status = last;
        if (status == null) {
            unanswered++;
            harness.ask(owner, id -> new Submit(id, submission), this::submitted);
        } else if (cancelWanted && !cancelAnswered) {
            harness.ask(owner, id -> new Cancel(id, status.job()), this::cancelled);
        } else {
            harness.ask(owner, id -> new Query(id, status.job()), this::told);
        }
    }

    private void submitted(JobReply reply) {
        if (reply instanceof JobAnswer) {
            told(reply);
            return;
        }
        JobRefusal refusal = (JobRefusal) reply;
        lastError = refusal.code();
        if (refusal.outcome() == Outcome.NOT_RUN) {
            unanswered--;
            gaveUp = givesUp && unanswered == 0 && last == null;
        }
    }

    private void cancelled(JobReply reply) {
        cancelAnswered |= reply instanceof JobAnswer;
        told(reply);
    }

    private void told(JobReply reply) {
        if (done()) {
            return;
        }
        if (reply instanceof JobAnswer answer) {
            last = answer.status();
            seen.add(answer.status().job());
        } else {
            lastError = ((JobRefusal) reply).code();
        }
    }
}
