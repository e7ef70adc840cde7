package org.damasktiller.limit;

/**
 * Asks to replace the record of a limit by compare-and-swap.
 *
 * @param record the new record
 * @param expectedRevision the revision that the record must have, zero if it must be absent
 */
public record LimitWrite(LimitRecord record, long expectedRevision) {}
