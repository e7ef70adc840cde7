package org.damasktiller.authority.ownership;

import org.damasktiller.authority.commit.LogHead;

/**
 * Reports that this process became the owner under a new generation.
 *
 * @param head the head that this process wrote
 * @param headRevision the revision of the head
 * @param previousGraceMillis how long after the acquisition anything that an earlier owner granted
 *     may still run, in milliseconds; zero if there was none
 */
public record Acquisition(LogHead head, long headRevision, long previousGraceMillis) {}
