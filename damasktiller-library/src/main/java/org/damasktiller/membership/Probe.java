package org.damasktiller.membership;

import org.damasktiller.identity.VmId;

/** Holds one probe that waits for an answer. */
final class Probe {

    /** The member probed. */
    private final VmId target;

    /** The number of the probe. */
    private final int sequence;

    /** When it was sent, in milliseconds. */
    private final long sentAtMillis;

    /** Whether others were asked to probe the member too. */
    private boolean indirect;

    /** Whether an answer came. */
    private boolean answered;

    /**
     * Creates a probe.
     *
     * @param target the member probed
     * @param sequence the number of the probe
     * @param sentAtMillis when it was sent, in milliseconds
     */
    Probe(VmId target, int sequence, long sentAtMillis) {
        this.target = target;
        this.sequence = sequence;
        this.sentAtMillis = sentAtMillis;
    }

    /**
     * Returns the member probed.
     *
     * @return the member
     */
    VmId target() {
        return target;
    }

    /**
     * Returns the number of the probe.
     *
     * @return the number
     */
    int sequence() {
        return sequence;
    }

    /**
     * Takes in an answer.
     *
     * @param answeredSequence the number in the answer
     */
    void onAnswer(int answeredSequence) {
        answered |= answeredSequence == sequence;
    }

    /**
     * Tells whether an answer came.
     *
     * @return whether an answer came
     */
    boolean answered() {
        return answered;
    }

    /**
     * Tells once whether it is time to ask others to probe the member.
     *
     * @param nowMillis the time, in milliseconds
     * @param timeoutMillis how long a direct answer is awaited, in milliseconds
     * @return whether others are to be asked now
     */
    boolean startIndirect(long nowMillis, long timeoutMillis) {
        if (answered || indirect || nowMillis - sentAtMillis < timeoutMillis) {
            return false;
        }
        indirect = true;
        return true;
    }
}
