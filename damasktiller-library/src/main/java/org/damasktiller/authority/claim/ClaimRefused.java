package org.damasktiller.authority.claim;

import org.damasktiller.error.ErrorCode;

/**
 * Nothing is granted by this answer. The same nonce may ask again, and may find itself granted.
 *
 * @param code NOT_OWNER, STORE_UNAVAILABLE, OVERLOADED, DRAINING or BAD_REQUEST
 * @param holder the identity text of the owner that was last seen, or an empty text
 * @param retryAfterMillis after which time to ask again, in milliseconds
 */
public record ClaimRefused(ErrorCode code, String holder, long retryAfterMillis)
        implements ClaimAnswer {}
