package org.damasktiller.standin.claim;

import org.damasktiller.authority.claim.ClaimKey;
import org.damasktiller.authority.claim.ClaimNonce;
import org.damasktiller.authority.claim.FinishRequest;
import org.jspecify.annotations.Nullable;

/** One try of a caller, as the caller and the endpoint saw it. Compared by identity. */
public final class RequestTry {

    /** What was asked for. */
    private final ClaimKey key;

    /** The nonce of the try. */
    private final ClaimNonce nonce;

    /** When the try began, in milliseconds. */
    private final long beganMillis;

    /** What the caller was told, or null. */
    private @Nullable FinishRequest told;

    /** When the caller was told, in milliseconds. */
    private long toldMillis;

    /** How often the endpoint executed the try. */
    private int executions;

    /**
     * Creates a try of which nothing came yet.
     *
     * @param key what is asked for
     * @param nonce the nonce of the try
     * @param beganMillis when the try began, in milliseconds
     */
    RequestTry(ClaimKey key, ClaimNonce nonce, long beganMillis) {
        this.key = key;
        this.nonce = nonce;
        this.beganMillis = beganMillis;
    }

    /**
     * Returns what was asked for.
     *
     * @return the key
     */
    public ClaimKey key() {
        return key;
    }

    /**
     * Returns the nonce of the try.
     *
     * @return the nonce
     */
    public ClaimNonce nonce() {
        return nonce;
    }

    /**
     * Returns how long the caller waited.
     *
     * @return the time, in milliseconds, meaningless until the caller was told
     */
    public long waitedMillis() {
        return toldMillis - beganMillis;
    }

    /**
     * Returns what the caller was told.
     *
     * @return the end, or null if the caller was told nothing
     */
    public @Nullable FinishRequest told() {
        return told;
    }

    /**
     * Returns how often the endpoint executed the try.
     *
     * @return the number of executions
     */
    public int executions() {
        return executions;
    }

    /**
     * Tells the caller.
     *
     * @param end what the caller is told
     * @param nowMillis the time, in milliseconds
     */
    void tell(FinishRequest end, long nowMillis) {
        if (told != null) {
            throw new IllegalStateException("told twice: " + told + " and " + end);
        }
        told = end;
        toldMillis = nowMillis;
    }

    /** Executes the try at the endpoint. */
    void execute() {
        executions++;
    }
}
