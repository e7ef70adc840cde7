package org.damasktiller.authority.commit;

import java.util.List;

/**
 * Holds a whole log as it was read.
 *
 * @param head the head
 * @param headRevision the revision of the head's key
 * @param segments the segments of the head, oldest first
 */
public record LogImage(LogHead head, long headRevision, List<SealedSegment> segments) {

    /** Copies the list. */
    public LogImage {
        segments = List.copyOf(segments);
    }
}
