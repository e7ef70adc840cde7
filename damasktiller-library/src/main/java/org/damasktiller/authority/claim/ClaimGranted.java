package org.damasktiller.authority.claim;

/** The request is granted to the nonce that asked: it may be sent once, within its deadline. */
public record ClaimGranted() implements ClaimAnswer {}
