package org.damasktiller.authority.call;

/**
 * Reads one key; answered by a {@link ReadAnswer}.
 *
 * @param key the key
 */
public record ReadCall(String key) implements StoreCall {}
