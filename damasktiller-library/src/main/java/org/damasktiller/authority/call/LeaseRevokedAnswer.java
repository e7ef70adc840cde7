package org.damasktiller.authority.call;

/** Answers the revocation of a lease. */
public record LeaseRevokedAnswer() implements StoreAnswer {}
