package org.damasktiller.daemon.gateway;

import io.activej.promise.Promise;
import org.damasktiller.routing.ClaimOutcome;

/** Claims the keys of at-most-once requests before they are sent. */
public interface ClaimGate {

    /**
     * Claims a key. A failed promise counts as {@link ClaimOutcome#UNAVAILABLE}.
     *
     * @param request what to claim
     * @return how the claim ended
     */
    Promise<ClaimOutcome> claim(ClaimRequest request);
}
