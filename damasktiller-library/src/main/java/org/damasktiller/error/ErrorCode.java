package org.damasktiller.error;

/** Lists the errors that callers and operators can see, each documented in OPERATORS.md. */
public enum ErrorCode {
    /** The request is malformed. */
    BAD_REQUEST,
    /** The request body is larger than the limit. */
    BODY_TOO_LARGE,
    /** The text is not valid UTF-8. */
    BAD_ENCODING,
    /** The table is not valid; the message names the row, the column and what is allowed. */
    BAD_TABLE,
    /** Two operators changed the same cell of the table. */
    TABLE_CONFLICT,
    /** A setting is missing or out of range. */
    BAD_SETTING,
    /** The table has no such kind of work. */
    UNKNOWN_KIND,
    /** A request of an at-most-once kind carries no idempotency key. */
    MISSING_KEY,
    /** No such job is known. */
    UNKNOWN_JOB,
    /** No worker of the fleet can ever run the job. */
    NEVER_RUNNABLE,
    /** The request was already sent once and must not be sent again. */
    ALREADY_CLAIMED,
    /** The system has no free capacity for the request; retry after the stated delay. */
    OVERLOADED,
    /** The quota of the tenant is used up. */
    QUOTA_EXCEEDED,
    /** The key-value service does not answer. */
    STORE_UNAVAILABLE,
    /** No endpoint is available for the request. */
    NO_ENDPOINT,
    /** The endpoint failed while it handled the request. */
    ENDPOINT_FAILED,
    /** The deadline passed. */
    DEADLINE_EXCEEDED,
    /** The peer sent something that the protocol does not allow. */
    PROTOCOL_ERROR,
    /** The VM is shutting down and takes no new work. */
    DRAINING,
    /** The entry VM does not own the cell or shard any longer. */
    NOT_OWNER
}
