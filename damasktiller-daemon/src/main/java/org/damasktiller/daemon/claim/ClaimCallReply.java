package org.damasktiller.daemon.claim;

import com.fasterxml.jackson.annotation.JsonFormat;
import org.damasktiller.authority.claim.ClaimAnswer;
import org.damasktiller.authority.claim.ClaimGranted;
import org.damasktiller.authority.claim.ClaimRefused;
import org.damasktiller.authority.claim.ClaimTaken;
import org.damasktiller.error.ErrorCode;

/**
 * Holds the answer to a call on a claim as it is sent.
 *
 * @param type how the call ended
 * @param code the code of a refusal
 * @param holder the owner last seen, of a refusal
 * @param retryAfterMillis when to ask again after a refusal, in milliseconds
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
record ClaimCallReply(Type type, ErrorCode code, String holder, long retryAfterMillis) {

    /**
     * Makes the reply for an answer.
     *
     * @param answer the answer
     * @return the reply
     */
    static ClaimCallReply of(ClaimAnswer answer) {
        if (answer instanceof ClaimRefused refused) {
            return new ClaimCallReply(
                    Type.REFUSED, refused.code(), refused.holder(), refused.retryAfterMillis());
        }
        if (answer instanceof ClaimTaken taken) {
            return plain(taken.completed() ? Type.TAKEN_AND_COMPLETED : Type.TAKEN);
        }
        return plain(Type.GRANTED);
    }

    /**
     * Makes the answer again.
     *
     * @return the answer
     */
    ClaimAnswer answer() {
        return switch (type) {
            case GRANTED -> new ClaimGranted();
            case TAKEN -> new ClaimTaken(false);
            case TAKEN_AND_COMPLETED -> new ClaimTaken(true);
            case REFUSED -> new ClaimRefused(code, holder, retryAfterMillis);
        };
    }

    /**
     * Makes a reply that is no refusal.
     *
     * @param type how the call ended
     * @return the reply
     */
    private static ClaimCallReply plain(Type type) {
        return new ClaimCallReply(type, ErrorCode.ALREADY_CLAIMED, "", 0);
    }

    /** Lists how a call may end. */
    enum Type {
        /** The request is granted to the nonce. */
        GRANTED,
        /** The request belongs to another try. */
        TAKEN,
        /** The request belongs to another try, which was answered. */
        TAKEN_AND_COMPLETED,
        /** Nothing is granted by this answer. */
        REFUSED
    }
}
