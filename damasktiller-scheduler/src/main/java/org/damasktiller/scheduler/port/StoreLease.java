package org.damasktiller.scheduler.port;

/**
 * A lease of the store; keys written under it are removed when it ends.
 *
 * @param id its number
 * @param lifeMillis how long it lives from the arrival of a renewal, in milliseconds
 */
public record StoreLease(long id, long lifeMillis) {}
