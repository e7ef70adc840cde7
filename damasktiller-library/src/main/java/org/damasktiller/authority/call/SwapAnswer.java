package org.damasktiller.authority.call;

import org.damasktiller.store.SwapResult;

/**
 * Answers a compare-and-swap.
 *
 * @param result whether the write took effect
 */
public record SwapAnswer(SwapResult result) implements StoreAnswer {}
