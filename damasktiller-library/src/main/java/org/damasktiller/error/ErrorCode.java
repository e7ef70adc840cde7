package org.damasktiller.error;

/** Lists the error codes that callers and operators can see; OPERATORS.md documents each one. */
public enum ErrorCode {
    /** The request is malformed. */
    BAD_REQUEST,
    /** The request body or the table is larger than its limit. */
    BODY_TOO_LARGE,
    /** The VM has no room for the request, or the request did not arrive in time. */
    OVERLOADED,

    /** The text is not valid UTF-8. */
    BAD_ENCODING,
    /** The table is invalid; the message names the row, the column and the allowed values. */
    BAD_TABLE,
    /** Two operators changed the same table cell to different values. */
    TABLE_CONFLICT,
    /** A setting of the process is missing or out of range. */
    BAD_SETTING,
    /** The table has no row for the named kind of work. */
    UNKNOWN_KIND,
    /** No job with the given identifier is known. */
    UNKNOWN_JOB,
    /** The submission was cancelled before it was stored. */
    CANCELLED_BEFORE,
    /** No worker is large enough for a task of the submission. */
    UNSERVABLE,
    /** The owner of the cell has no memory for further submissions. */
    CELL_FULL,
    /** The key-value service did not answer. */
    STORE_UNAVAILABLE,
    /** The peer sent a message, or the store holds a record, that violates the format. */
    PROTOCOL_ERROR
}
