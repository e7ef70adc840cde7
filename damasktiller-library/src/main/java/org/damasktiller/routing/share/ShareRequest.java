package org.damasktiller.routing.share;

import java.util.List;
import org.damasktiller.identity.VmId;

/**
 * Asks for shares and acknowledges the last grant.
 *
 * @param member the entry VM that asks
 * @param sequence rises with each request of the member
 * @param generation the generation of the last grant applied, zero if none
 * @param grantSeen the number of the last grant applied; the member uses no earlier one any more
 * @param wishes what it holds and wants of each endpoint
 */
public record ShareRequest(
        VmId member, long sequence, long generation, long grantSeen, List<ShareWish> wishes) {

    /** Copies the list. */
    public ShareRequest {
        wishes = List.copyOf(wishes);
    }
}
