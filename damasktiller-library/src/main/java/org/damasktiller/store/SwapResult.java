package org.damasktiller.store;

import org.jspecify.annotations.Nullable;

/**
 * Holds the result of a compare-and-swap.
 *
 * @param applied whether the write took effect
 * @param revision the revision of the write, or 0 if the write did not take effect
 * @param current the current value of the key, which made the write fail, or null if the key was
 *     absent or the write took effect
 */
public record SwapResult(boolean applied, long revision, @Nullable StoredValue current) {}
