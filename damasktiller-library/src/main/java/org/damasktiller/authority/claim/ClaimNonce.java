package org.damasktiller.authority.claim;

/**
 * Identifies one try of a forwarder to have a request run. No other try of any process carries it.
 *
 * @param value the non-blank text
 */
public record ClaimNonce(String value) {

    /** Checks that the text is not blank. */
    public ClaimNonce {
        if (value.isBlank()) {
            throw new IllegalArgumentException("ClaimNonce must not be blank");
        }
    }
}
