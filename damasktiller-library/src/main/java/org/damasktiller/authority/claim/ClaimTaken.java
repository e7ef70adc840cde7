package org.damasktiller.authority.claim;

/**
 * The request belongs to another try and must not be sent.
 *
 * @param completed whether that try is known to have been answered
 */
public record ClaimTaken(boolean completed) implements ClaimAnswer {}
