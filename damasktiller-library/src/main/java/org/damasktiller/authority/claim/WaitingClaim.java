package org.damasktiller.authority.claim;

import java.util.ArrayList;
import java.util.List;

/** Holds a change of a claim until it is committed, with the questions that wait for it. */
final class WaitingClaim {

    /**
     * The questions that one change keeps waiting at most; a later one takes the oldest's place.
     */
    private static final int MAXIMUM_QUESTIONS = 4;

    /** The claim as it will be. */
    private final ClaimRecord record;

    /** The position of the change in the log. */
    private final long position;

    /** When the change was asked for, in milliseconds. */
    private final long sinceMillis;

    /** Whether the forwarder gave the claim back before it was committed. */
    private boolean givenBack;

    /** The numbers under which to reply. */
    private final List<Long> questions = new ArrayList<>();

    /**
     * Creates a change without questions.
     *
     * @param record the claim as it will be
     * @param position the position of the change in the log
     * @param sinceMillis when the change was asked for, in milliseconds
     */
    WaitingClaim(ClaimRecord record, long position, long sinceMillis) {
        this.record = record;
        this.position = position;
        this.sinceMillis = sinceMillis;
    }

    /**
     * Returns the claim as it will be.
     *
     * @return the claim
     */
    ClaimRecord record() {
        return record;
    }

    /**
     * Returns the position of the change in the log.
     *
     * @return the position
     */
    long position() {
        return position;
    }

    /**
     * Returns when the change was asked for.
     *
     * @return the time, in milliseconds
     */
    long sinceMillis() {
        return sinceMillis;
    }

    /**
     * Tells whether the forwarder gave the claim back before it was committed.
     *
     * @return whether the claim is to be released
     */
    boolean givenBack() {
        return givenBack;
    }

    /** Has the claim released once it is committed. */
    void giveBack() {
        givenBack = true;
    }

    /**
     * Adds a question.
     *
     * @param replyId the number under which to reply
     * @return the number of the question whose place it took, or zero
     */
    long add(long replyId) {
        long displaced = questions.size() < MAXIMUM_QUESTIONS ? 0 : questions.remove(0);
        questions.add(replyId);
        return displaced;
    }

    /**
     * Takes the questions.
     *
     * @return the numbers under which to reply
     */
    List<Long> takeQuestions() {
        List<Long> taken = List.copyOf(questions);
        questions.clear();
        return taken;
    }
}
