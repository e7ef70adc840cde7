package org.damasktiller.authority.call;

import org.damasktiller.store.SwapRequest;

/**
 * Writes one key by compare-and-swap; answered by a {@link SwapAnswer}.
 *
 * @param request the write
 */
public record SwapCall(SwapRequest request) implements StoreCall {}
