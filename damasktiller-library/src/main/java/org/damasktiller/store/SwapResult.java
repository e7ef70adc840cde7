package org.damasktiller.store;

import org.jspecify.annotations.Nullable;

/**
 * Answers a compare-and-swap.
 *
 * @param applied whether the write took effect
 * @param revision the revision of the write if it took effect, else zero
 * @param current the value that stood in the way, or null if the key was absent or the write took
 *     effect
 */
public record SwapResult(boolean applied, long revision, @Nullable StoredValue current) {}
