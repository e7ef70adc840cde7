package org.damasktiller.standin.http;

import org.damasktiller.error.ErrorCode;

/** Gives each error code its HTTP status. */
public final class HttpCodes {

    /** The status of a malformed request. */
    private static final int BAD_REQUEST = 400;

    /** The status of something unknown. */
    private static final int NOT_FOUND = 404;

    /** The status of a request that clashes with the present state. */
    private static final int CONFLICT = 409;

    /** The status of a body over the limit. */
    private static final int TOO_LARGE = 413;

    /** The status of a request that can never be carried out. */
    private static final int UNPROCESSABLE = 422;

    /** The status of a caller over its quota. */
    private static final int TOO_MANY_REQUESTS = 429;

    /** The status of a failure behind this server. */
    private static final int BAD_GATEWAY = 502;

    /** The status of a request that may be tried again later. */
    private static final int UNAVAILABLE = 503;

    /** The status of a deadline that passed. */
    private static final int GATEWAY_TIMEOUT = 504;

    /** Prevents instantiation. */
    private HttpCodes() {}

    /**
     * Returns the HTTP status of an error code.
     *
     * @param code the error code
     * @return the status
     */
    public static int statusOf(ErrorCode code) {
        return switch (code) {
            case BAD_REQUEST, BAD_ENCODING, BAD_TABLE, BAD_SETTING, MISSING_KEY -> BAD_REQUEST;
            case UNKNOWN_KIND, UNKNOWN_JOB -> NOT_FOUND;
            case TABLE_CONFLICT, ALREADY_CLAIMED -> CONFLICT;
            case BODY_TOO_LARGE -> TOO_LARGE;
            case NEVER_RUNNABLE -> UNPROCESSABLE;
            case QUOTA_EXCEEDED -> TOO_MANY_REQUESTS;
            case ENDPOINT_FAILED, PROTOCOL_ERROR -> BAD_GATEWAY;
            case OVERLOADED, STORE_UNAVAILABLE, NO_ENDPOINT, DRAINING, NOT_OWNER -> UNAVAILABLE;
            case DEADLINE_EXCEEDED -> GATEWAY_TIMEOUT;
        };
    }
}
