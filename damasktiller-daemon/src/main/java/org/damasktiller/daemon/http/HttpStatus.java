package org.damasktiller.daemon.http;

/** Lists the statuses with which errors are answered. */
enum HttpStatus {
    /** The request is wrong. */
    BAD_REQUEST(400),
    /** What the request names does not exist. */
    NOT_FOUND(404),
    /** The request contradicts an earlier one. */
    CONFLICT(409),
    /** The body is larger than the limit. */
    TOO_LARGE(413),
    /** The request is well formed but can never be met. */
    UNPROCESSABLE(422),
    /** The caller sends more than its quota. */
    TOO_MANY_REQUESTS(429),
    /** The endpoint failed. */
    BAD_GATEWAY(502),
    /** The system cannot take the request now. */
    UNAVAILABLE(503),
    /** The deadline passed. */
    GATEWAY_TIMEOUT(504);

    /** The number of the status. */
    private final int code;

    /**
     * Creates a status.
     *
     * @param code the number
     */
    HttpStatus(int code) {
        this.code = code;
    }

    /**
     * Returns the number of the status.
     *
     * @return the number
     */
    int code() {
        return code;
    }
}
