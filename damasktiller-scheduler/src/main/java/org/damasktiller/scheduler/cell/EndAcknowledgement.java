package org.damasktiller.scheduler.cell;

/**
 * Which ends of runs the present boot of a worker may forget. Each boot numbers its ends from 1,
 * and nothing in a poll names the boot: one that is carried out by a later boot makes that one
 * forget ends that the owner has not seen. A poll therefore names ends only as long as no answer
 * has confirmed that they are forgotten.
 */
final class EndAcknowledgement {

    /** The number of a poll's acknowledgement that names no ends. */
    static final long NONE = 0;

    /** The number of the last end that the worker may forget. */
    private long acknowledged;

    /** The number of the last end that the worker has certainly forgotten. */
    private long confirmed;

    /** When the last poll that named ends and got no answer was sent, in milliseconds. */
    private long unansweredAtMillis = WorkerRecord.NEVER;

    /** Creates the acknowledgement of a boot of which no end is known. */
    EndAcknowledgement() {}

    /**
     * Lets the worker forget ends.
     *
     * @param sequence the number of the last of them
     */
    void advance(long sequence) {
        acknowledged = sequence;
    }

    /**
     * Returns what the next poll names.
     *
     * @return the number of the last end to forget, or {@link #NONE} if the worker has forgotten it
     */
    long next() {
        return acknowledged > confirmed ? acknowledged : NONE;
    }

    /**
     * Takes note that the worker has answered a poll.
     *
     * @param sequence what the poll named
     */
    void onAnswered(long sequence) {
        confirmed = Math.max(confirmed, sequence);
    }

    /**
     * Takes note that a poll got no answer.
     *
     * @param sequence what the poll named
     * @param sentAtMillis when it was sent, in milliseconds
     */
    void onUnanswered(long sequence, long sentAtMillis) {
        if (sequence != NONE) {
            unansweredAtMillis = sentAtMillis;
        }
    }

    /**
     * Begins anew with another boot of the worker, which numbers its ends from 1.
     *
     * @return until when a poll for the former boots may make this one forget ends, in milliseconds
     */
    long restart() {
        acknowledged = NONE;
        confirmed = NONE;
        return unansweredAtMillis + UnconfirmedLeases.MAX_DELAY_MILLIS;
    }
}
