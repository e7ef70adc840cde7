package org.damasktiller.routing.share;

import java.util.List;
import org.damasktiller.identity.VmId;

/**
 * Answers a {@link ShareRequest} with the member's whole share.
 *
 * @param member the entry VM that asked
 * @param sequence the sequence of the request
 * @param generation the generation of the ledger
 * @param number rises with each grant of the ledger
 * @param durationMillis how long the grant lasts from the sending of the request, in milliseconds
 * @param amounts the slots granted of each endpoint; none of those not listed
 */
public record ShareGrant(
        VmId member,
        long sequence,
        long generation,
        long number,
        long durationMillis,
        List<ShareAmount> amounts) {

    /** Copies the list. */
    public ShareGrant {
        amounts = List.copyOf(amounts);
    }
}
