package org.damasktiller.authority.commit;

import java.util.List;

/**
 * Describes the next version of a log.
 *
 * @param kept the segments that stay, oldest first
 * @param added the entries of each new segment, in order, none empty
 * @param dropped the segments that are replaced
 * @param tail the entries after the last segment, oldest first
 */
record LogPlan(
        List<SealedSegment> kept,
        List<List<LogEntry>> added,
        List<SealedSegment> dropped,
        List<LogEntry> tail) {}
