package org.damasktiller.authority.call;

/**
 * Answers a renewal.
 *
 * @param held whether the lease still stood
 */
public record LeaseRenewedAnswer(boolean held) implements StoreAnswer {}
