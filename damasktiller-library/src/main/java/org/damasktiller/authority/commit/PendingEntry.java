package org.damasktiller.authority.commit;

/**
 * Holds an entry that waits to be committed.
 *
 * @param position the position of the entry in the log
 * @param entry the entry
 */
record PendingEntry(long position, LogEntry entry) {}
