package org.damasktiller.authority.claim;

import java.util.List;
import org.damasktiller.error.ErrorCode;
import org.damasktiller.error.Outcome;

/**
 * Follows one try of an at-most-once request at the entry VM that forwards it: claim, send once,
 * and tell the caller the truth. The caller is told NOT_RUN only while nothing was sent, and after
 * that nothing is ever sent under this nonce. Once a byte may have left, the request is never sent
 * again.
 *
 * <p>Each event returns the actions to take. The driver sends in the same step in which it took
 * {@link SendRequest}: the deadline is checked at that moment. Does no I/O. Not safe for use by
 * several threads.
 */
public final class AtMostOnceRequest {

    /** After which time to ask the shard again, in milliseconds. */
    private static final long ASK_AGAIN_MILLIS = 250;

    /** What is claimed. */
    private final ClaimKey key;

    /** The try. */
    private final ClaimNonce nonce;

    /** When the caller stops to wait, in milliseconds. */
    private final long deadlineMillis;

    /** How far the request has come. */
    private RequestPhase phase = RequestPhase.CLAIMING;

    /** When to ask the shard again, in milliseconds. */
    private long askMillis = Long.MIN_VALUE;

    /** The reason of the latest refusal. */
    private ErrorCode refusal = ErrorCode.DEADLINE_EXCEEDED;

    /**
     * Creates a request of which nothing was asked.
     *
     * @param key what is claimed
     * @param nonce a nonce that no other try carries
     * @param deadlineMillis when the caller stops to wait, in milliseconds
     */
    public AtMostOnceRequest(ClaimKey key, ClaimNonce nonce, long deadlineMillis) {
        this.key = key;
        this.nonce = nonce;
        this.deadlineMillis = deadlineMillis;
    }

    /**
     * Returns how far the request has come.
     *
     * @return the phase
     */
    public RequestPhase phase() {
        return phase;
    }

    /**
     * Notes that time has passed. The first call asks for the claim.
     *
     * @param nowMillis the time, in milliseconds
     * @return what to do
     */
    public List<ForwarderAction> tick(long nowMillis) {
        if (phase == RequestPhase.SENT && nowMillis >= deadlineMillis) {
            return end(Outcome.OUTCOME_UNKNOWN, ErrorCode.DEADLINE_EXCEEDED);
        }
        if (phase != RequestPhase.CLAIMING) {
            return List.of();
        }
        if (nowMillis >= deadlineMillis) {
            return notRun(refusal);
        }
        if (nowMillis < askMillis) {
            return List.of();
        }
        askMillis = nowMillis + ASK_AGAIN_MILLIS;
        return List.of(new AskShard(key, nonce));
    }

    /**
     * Notes the answer of the shard to this nonce, which may be late or a duplicate.
     *
     * @param answer the answer
     * @param nowMillis the time, in milliseconds
     * @return what to do
     */
    public List<ForwarderAction> claimAnswered(ClaimAnswer answer, long nowMillis) {
        if (answer instanceof ClaimGranted) {
            return granted(nowMillis);
        }
        if (phase != RequestPhase.CLAIMING) {
            return List.of();
        }
        if (answer instanceof ClaimTaken taken) {
            Outcome outcome = taken.completed() ? Outcome.RUN : Outcome.OUTCOME_UNKNOWN;
            return end(outcome, ErrorCode.ALREADY_CLAIMED);
        }
        ClaimRefused refused = (ClaimRefused) answer;
        refusal = refused.code();
        if (refusal == ErrorCode.BAD_REQUEST) {
            return notRun(refusal);
        }
        askMillis = nowMillis + refused.retryAfterMillis();
        return List.of();
    }

    /**
     * Notes that a send failed before any byte can have left, so that another endpoint may be
     * tried.
     *
     * @param nowMillis the time, in milliseconds
     * @return what to do
     */
    public List<ForwarderAction> sendNotBegun(long nowMillis) {
        if (phase != RequestPhase.SENT) {
            return List.of();
        }
        if (nowMillis >= deadlineMillis) {
            return notRun(ErrorCode.NO_ENDPOINT);
        }
        return List.of(new SendRequest());
    }

    /**
     * Notes that no endpoint is left to send to, and that no byte can have left.
     *
     * @return what to do
     */
    public List<ForwarderAction> noEndpoint() {
        return phase == RequestPhase.SENT ? notRun(ErrorCode.NO_ENDPOINT) : List.of();
    }

    /**
     * Notes that a send failed after a byte may have left.
     *
     * @return what to do
     */
    public List<ForwarderAction> sendFailed() {
        return phase == RequestPhase.SENT
                ? end(Outcome.OUTCOME_UNKNOWN, ErrorCode.ENDPOINT_FAILED)
                : List.of();
    }

    /**
     * Notes that the endpoint answered in whole.
     *
     * @return what to do
     */
    public List<ForwarderAction> answered() {
        if (phase != RequestPhase.SENT) {
            return List.of();
        }
        phase = RequestPhase.ENDED;
        return List.of(new FinishRequest(Outcome.RUN, null), new ReportAnswered(key, nonce));
    }

    /**
     * Takes a grant. One that comes after the caller was told NOT_RUN is given back.
     *
     * @param nowMillis the time, in milliseconds
     * @return what to do
     */
    private List<ForwarderAction> granted(long nowMillis) {
        if (phase == RequestPhase.NOT_RUN) {
            return List.of(new GiveBack(key, nonce));
        }
        if (phase != RequestPhase.CLAIMING) {
            return List.of();
        }
        if (nowMillis >= deadlineMillis) {
            return notRun(ErrorCode.DEADLINE_EXCEEDED);
        }
        phase = RequestPhase.SENT;
        return List.of(new SendRequest());
    }

    /**
     * Ends the request of which nothing was sent.
     *
     * @param code the reason
     * @return what to do
     */
    private List<ForwarderAction> notRun(ErrorCode code) {
        phase = RequestPhase.NOT_RUN;
        return List.of(new FinishRequest(Outcome.NOT_RUN, code), new GiveBack(key, nonce));
    }

    /**
     * Ends the request without an answer.
     *
     * @param outcome whether it was run
     * @param code the reason
     * @return what to do
     */
    private List<ForwarderAction> end(Outcome outcome, ErrorCode code) {
        phase = RequestPhase.ENDED;
        return List.of(new FinishRequest(outcome, code));
    }
}
