package org.damasktiller.authority.cell;

import org.damasktiller.error.ErrorCode;
import org.damasktiller.error.Outcome;

/**
 * Refuses a request.
 *
 * @param code the code of the error
 * @param outcome NOT_RUN if the job will never run under this request; OUTCOME_UNKNOWN if it may
 *     have been accepted, so that the caller should ask again with the same key
 * @param message why
 * @param retryAfterMillis when to try again, in milliseconds, or zero for never
 */
public record JobRefusal(ErrorCode code, Outcome outcome, String message, long retryAfterMillis)
        implements JobReply {}
