package org.damasktiller.authority.cell;

import org.damasktiller.error.ErrorCode;
import org.damasktiller.error.Outcome;

/**
 * Refuses a request.
 *
 * @param code the code of the error
 * @param outcome NOT_RUN if nothing was accepted, and nothing will ever run, for this submission;
 *     what an earlier submission of the same key did is not told by it. OUTCOME_UNKNOWN if the
 *     submission may have been accepted, so that the caller should ask again with the same key
 * @param message why
 * @param retryAfterMillis when to try again, in milliseconds, or zero for never
 */
public record JobRefusal(ErrorCode code, Outcome outcome, String message, long retryAfterMillis)
        implements JobReply {}
