package org.damasktiller.authority.log;

import org.damasktiller.authority.commit.SegmentReference;
import org.jspecify.annotations.Nullable;

/**
 * Holds a call to the key-value service whose answer is awaited.
 *
 * @param part the part that asked for the call
 * @param segment the segment that the recovery reads, or null
 * @param sentMillis when the call was sent, in milliseconds
 */
record AwaitedCall(LogPart part, @Nullable SegmentReference segment, long sentMillis) {}
