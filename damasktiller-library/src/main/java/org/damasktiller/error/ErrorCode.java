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
    /** No such job is known. */
    UNKNOWN_JOB,
    /** The key-value service does not answer. */
    STORE_UNAVAILABLE,
    /** The peer sent something that the protocol does not allow. */
    PROTOCOL_ERROR
}
