package org.damasktiller.authority.claim;

import java.util.ArrayList;
import java.util.List;
import org.damasktiller.authority.commit.GroupCommitter;
import org.damasktiller.authority.commit.LogKeys;
import org.damasktiller.authority.log.NumberedCall;
import org.damasktiller.authority.log.OwnedLog;
import org.damasktiller.authority.ownership.OwnerIdentity;
import org.damasktiller.error.ErrorCode;
import org.jspecify.annotations.Nullable;

/**
 * Owns one claim shard, or stands by to own it. A request is granted to one nonce only, and only
 * once the claim is committed; the same nonce is granted it again, any other is refused. A claim is
 * kept for the retention time of the settings, then the key counts as new.
 *
 * <p>The class does no I/O. A driver passes each {@link ClaimEvent} with the time and carries out
 * the returned actions: {@link ClaimStoreRequest} by {@code StoreCalls.send(store, call)}, whose
 * outcome it passes back; {@link ClaimReply} to the forwarder, each number once; {@link
 * ClaimsReleased} at the end of a drain. It passes {@link ClaimTick} every 10 to 50 milliseconds.
 * The time is that of the wall clock, read after the event was received. An event may be passed
 * late, twice or never.
 *
 * <p>Not safe for use by several threads.
 */
public final class ClaimShardOwner {

    /** After which time a forwarder may ask again, in milliseconds. */
    private static final long RETRY_AFTER_MILLIS = 250;

    /** The longest text of a key, in characters. */
    private static final int MAXIMUM_KEY_LENGTH = 1_024;

    /** The times and bounds. */
    private final ClaimSettings settings;

    /** The log of the shard. */
    private final OwnedLog log;

    /** The claims of the present term, or null. */
    private @Nullable ClaimBook book;

    /** Whether the entry VM shuts down. */
    private boolean draining;

    /** Whether the release was reported. */
    private boolean releaseReported;

    /**
     * Creates an owner that stands by.
     *
     * @param settings the times and bounds
     * @param shard the number of the shard
     * @param self the identity of this process
     */
    public ClaimShardOwner(ClaimSettings settings, int shard, OwnerIdentity self) {
        this.settings = settings;
        this.log =
                new OwnedLog(
                        settings.ownership(),
                        settings.commit(),
                        self,
                        new LogKeys("claims/" + shard + "/"),
                        settings.callTimeoutMillis());
    }

    /**
     * Tells whether this object owns the shard and has recovered it.
     *
     * @return whether it grants claims
     */
    public boolean active() {
        return book != null;
    }

    /**
     * Returns the identity text of the process that was last seen to own the shard.
     *
     * @return the text, or an empty text if none was seen
     */
    public String holder() {
        return log.holder();
    }

    /**
     * Returns the number of claims that the owner keeps.
     *
     * @return the number of claims, zero while it does not own the shard
     */
    public int claimCount() {
        ClaimBook present = book;
        return present == null ? 0 : present.size();
    }

    /**
     * Takes one event.
     *
     * @param event the event
     * @param nowMillis the time, read after the event was received, in milliseconds
     * @return what to do, in order
     */
    public List<ClaimAction> handle(ClaimEvent event, long nowMillis) {
        List<ClaimAction> actions = new ArrayList<>();
        if (event instanceof ClaimStoreAnswered answered) {
            log.answered(answered.callId(), answered.answer(), nowMillis);
        } else if (event instanceof ClaimStoreFailed failed) {
            log.failed(failed.callId(), nowMillis);
        } else if (event instanceof DrainClaims) {
            draining = true;
        }
        followTerm(actions);
        ClaimBook present = book;
        if (present != null) {
            settle(present, nowMillis, actions);
            present.forget(nowMillis - settings.retentionMillis());
        }
        takeRequest(event, nowMillis, actions);
        if (present != null && event instanceof ClaimTick) {
            present.giveUp(nowMillis - settings.waitMillis())
                    .forEach(id -> refuse(id, ErrorCode.STORE_UNAVAILABLE, actions));
        }
        finishDrain(actions);
        for (NumberedCall call : log.poll(nowMillis)) {
            actions.add(new ClaimStoreRequest(call.callId(), call.call()));
        }
        followTerm(actions);
        return actions;
    }

    /**
     * Takes an event of a forwarder.
     *
     * @param event the event
     * @param nowMillis the time, in milliseconds
     * @param actions where the reply goes
     */
    private void takeRequest(ClaimEvent event, long nowMillis, List<ClaimAction> actions) {
        if (event instanceof AskClaim ask) {
            take(ask, nowMillis, actions);
        } else if (event instanceof ReleaseClaim release) {
            change(release.key(), release.nonce(), ClaimState.RELEASED, nowMillis);
        } else if (event instanceof CompleteClaim complete) {
            change(complete.key(), complete.nonce(), ClaimState.COMPLETED, nowMillis);
        }
    }

    /**
     * Takes a question.
     *
     * @param ask the question
     * @param nowMillis the time, in milliseconds
     * @param actions where the reply goes
     */
    private void take(AskClaim ask, long nowMillis, List<ClaimAction> actions) {
        ClaimBook present = book;
        String key = ask.key().text();
        if (key.length() > MAXIMUM_KEY_LENGTH) {
            refuse(ask.replyId(), ErrorCode.BAD_REQUEST, actions);
            return;
        }
        if (present == null) {
            refuse(
                    ask.replyId(),
                    log.failing() ? ErrorCode.STORE_UNAVAILABLE : ErrorCode.NOT_OWNER,
                    actions);
            return;
        }
        WaitingClaim change = present.waiting(key);
        if (change != null) {
            join(change, ask, actions);
            return;
        }
        ClaimRecord record = present.committed(key);
        if (record == null || mayReplace(record, ask.nonce())) {
            claim(present, ask, nowMillis, actions);
        } else {
            actions.add(new ClaimReply(ask.replyId(), answer(record, ask.nonce())));
        }
    }

    /**
     * Tells whether a claim was given back by another try than the one that asks.
     *
     * @param record the claim
     * @param nonce the try that asks
     * @return whether the key may be claimed anew
     */
    private static boolean mayReplace(ClaimRecord record, ClaimNonce nonce) {
        return record.state() == ClaimState.RELEASED && !record.nonce().equals(nonce);
    }

    /**
     * Answers from a committed claim.
     *
     * @param record the claim
     * @param nonce the try that asks
     * @return the answer
     */
    private static ClaimAnswer answer(ClaimRecord record, ClaimNonce nonce) {
        if (record.nonce().equals(nonce) && record.state() == ClaimState.CLAIMED) {
            return new ClaimGranted();
        }
        return new ClaimTaken(record.state() == ClaimState.COMPLETED);
    }

    /**
     * Lets a question wait for a change of the same key, or refuses it.
     *
     * @param change the change that waits
     * @param ask the question
     * @param actions where the reply goes
     */
    private void join(WaitingClaim change, AskClaim ask, List<ClaimAction> actions) {
        boolean same = change.record().nonce().equals(ask.nonce());
        if (same && change.record().state() == ClaimState.CLAIMED) {
            long displaced = change.add(ask.replyId());
            if (displaced != 0) {
                refuse(displaced, ErrorCode.OVERLOADED, actions);
            }
        } else if (!same && change.record().state() == ClaimState.RELEASED) {
            refuse(ask.replyId(), ErrorCode.OVERLOADED, actions);
        } else {
            boolean completed = change.record().state() == ClaimState.COMPLETED;
            actions.add(new ClaimReply(ask.replyId(), new ClaimTaken(completed)));
        }
    }

    /**
     * Begins to claim a key, unless the shard has no room or the store does not answer.
     *
     * @param present the claims
     * @param ask the question
     * @param nowMillis the time, in milliseconds
     * @param actions where a refusal goes
     */
    private void claim(ClaimBook present, AskClaim ask, long nowMillis, List<ClaimAction> actions) {
        if (draining) {
            refuse(ask.replyId(), ErrorCode.DRAINING, actions);
        } else if (log.failing()) {
            refuse(ask.replyId(), ErrorCode.STORE_UNAVAILABLE, actions);
        } else if (present.waitingCount() >= settings.maximumWaiting()
                || present.size() + present.waitingCount() >= settings.maximumClaims()) {
            refuse(ask.replyId(), ErrorCode.OVERLOADED, actions);
        } else {
            ClaimRecord record = new ClaimRecord(ask.nonce(), ClaimState.CLAIMED, nowMillis);
            present.append(ask.key().text(), record, nowMillis).add(ask.replyId());
        }
    }

    /**
     * Changes the state of a claim that belongs to a nonce. A claim that waits for its commit is
     * released after it.
     *
     * @param key what was claimed
     * @param nonce the try of the forwarder
     * @param state the state
     * @param nowMillis the time, in milliseconds
     */
    private void change(ClaimKey key, ClaimNonce nonce, ClaimState state, long nowMillis) {
        ClaimBook present = book;
        if (present == null) {
            return;
        }
        WaitingClaim change = present.waiting(key.text());
        if (change != null) {
            if (state == ClaimState.RELEASED && change.record().nonce().equals(nonce)) {
                change.giveBack();
            }
            return;
        }
        ClaimRecord record = present.committed(key.text());
        if (record == null || record.state() != ClaimState.CLAIMED) {
            return;
        }
        if (record.nonce().equals(nonce)) {
            present.append(key.text(), record.in(state), nowMillis);
        }
    }

    /**
     * Replies to the questions whose claims have been committed.
     *
     * @param present the claims
     * @param nowMillis the time, in milliseconds
     * @param actions where the replies go
     */
    private static void settle(ClaimBook present, long nowMillis, List<ClaimAction> actions) {
        present.settle()
                .forEach(
                        (key, change) -> {
                            ClaimRecord record = change.record();
                            ClaimAnswer answer = answer(record, record.nonce());
                            change.takeQuestions()
                                    .forEach(id -> actions.add(new ClaimReply(id, answer)));
                            if (change.givenBack() && record.state() == ClaimState.CLAIMED) {
                                present.append(key, record.in(ClaimState.RELEASED), nowMillis);
                            }
                        });
    }

    /**
     * Begins or ends a term as the log says.
     *
     * @param actions where refusals go
     */
    private void followTerm(List<ClaimAction> actions) {
        GroupCommitter committer = log.committer().orElse(null);
        ClaimBook old = book;
        if (old != null && old.committer() != committer) {
            book = null;
            old.takeQuestions().forEach(id -> refuse(id, ErrorCode.NOT_OWNER, actions));
        }
        if (book == null && committer != null) {
            book = new ClaimBook(committer);
        }
    }

    /**
     * Gives the shard back once every claim is settled.
     *
     * @param actions where the report goes
     */
    private void finishDrain(List<ClaimAction> actions) {
        if (!draining || releaseReported) {
            return;
        }
        ClaimBook present = book;
        if (!log.released() && (present == null || present.committer().idle())) {
            log.release();
            followTerm(actions);
        }
        if (log.released()) {
            releaseReported = true;
            actions.add(new ClaimsReleased());
        }
    }

    /**
     * Refuses a question.
     *
     * @param replyId the number under which to reply
     * @param code the reason
     * @param actions where the reply goes
     */
    private void refuse(long replyId, ErrorCode code, List<ClaimAction> actions) {
        actions.add(
                new ClaimReply(replyId, new ClaimRefused(code, log.holder(), RETRY_AFTER_MILLIS)));
    }
}
