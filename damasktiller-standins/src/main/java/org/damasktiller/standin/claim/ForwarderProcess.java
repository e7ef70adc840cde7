package org.damasktiller.standin.claim;

import java.util.LinkedHashMap;
import java.util.Map;
import org.damasktiller.authority.claim.AtMostOnceRequest;
import org.damasktiller.authority.claim.ClaimNonces;

/** A process that forwards at-most-once requests. */
final class ForwarderProcess extends SimulatedProcess {

    /** The source of nonces. */
    final ClaimNonces nonces;

    /** The requests under test, by their tries. */
    final Map<RequestTry, AtMostOnceRequest> requests = new LinkedHashMap<>();

    /**
     * Creates a process.
     *
     * @param nonces the source of nonces
     */
    ForwarderProcess(ClaimNonces nonces) {
        this.nonces = nonces;
    }
}
